package dynamo

import (
	"context"
	"strconv"
	"strings"

	"almondstile/store"

	"github.com/aws/aws-sdk-go-v2/aws"
	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	"github.com/cockroachdb/errors"
)

const (
	partitionAttribute = "p"
	sortAttribute      = "s"
	versionAttribute   = "v"
	valueAttribute     = "b"
	soleSortKey        = "-"
)

type attributes = map[string]types.AttributeValue

// primaryKey splits a platform key. A second segment equal to soleSortKey would
// be taken for a key of one segment and is refused.
func primaryKey(key string) (attributes, error) {
	partition, sort, found := strings.Cut(key, "/")
	if !found {
		sort = soleSortKey
	} else if sort == "" || sort == soleSortKey {
		return nil, errors.Wrapf(store.ErrNotDone, "invalid key %q", key)
	}
	if partition == "" {
		return nil, errors.Wrapf(store.ErrNotDone, "invalid key %q", key)
	}
	return attributes{
		partitionAttribute: &types.AttributeValueMemberS{Value: partition},
		sortAttribute:      &types.AttributeValueMemberS{Value: sort},
	}, nil
}

// Get implements store.Table.
func (t *Table) Get(ctx context.Context, key string) (store.Item, error) {
	primary, err := primaryKey(key)
	if err != nil {
		return store.Item{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, t.callTimeout)
	defer cancel()
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName: &t.name, Key: primary, ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return store.Item{}, store.ClassifyRead(errors.Wrapf(err, "reading row %q", key))
	}
	if len(out.Item) == 0 {
		return store.Item{}, errors.Wrapf(store.ErrNotFound, "row %q", key)
	}
	return itemOf(out.Item)
}

// Query implements store.Table.
func (t *Table) Query(ctx context.Context, prefix string) ([]store.Item, error) {
	partition, rest, found := strings.Cut(prefix, "/")
	if !found || rest != "" || partition == "" {
		return nil, errors.Wrapf(store.ErrNotDone, "invalid prefix %q", prefix)
	}
	ctx, cancel := context.WithTimeout(ctx, t.callTimeout)
	defer cancel()
	pages := dynamodb.NewQueryPaginator(t.client, &dynamodb.QueryInput{
		TableName:                 &t.name,
		ConsistentRead:            aws.Bool(true),
		KeyConditionExpression:    aws.String(partitionAttribute + " = :p"),
		ExpressionAttributeValues: attributes{":p": &types.AttributeValueMemberS{Value: partition}},
	})
	var items []store.Item
	for pages.HasMorePages() {
		page, err := pages.NextPage(ctx)
		if err != nil {
			return nil, store.ClassifyRead(errors.Wrapf(err, "querying %q", prefix))
		}
		for _, row := range page.Items {
			item, err := itemOf(row)
			if err != nil {
				return nil, err
			}
			if strings.HasPrefix(item.Key, prefix) {
				items = append(items, item)
			}
		}
	}
	return items, nil
}

func itemOf(row attributes) (store.Item, error) {
	partition, hasPartition := row[partitionAttribute].(*types.AttributeValueMemberS)
	sort, hasSort := row[sortAttribute].(*types.AttributeValueMemberS)
	number, hasVersion := row[versionAttribute].(*types.AttributeValueMemberN)
	if !hasPartition || !hasSort || !hasVersion {
		return store.Item{}, errors.Wrap(store.ErrNotDone, "a row lacks an attribute")
	}
	version, err := strconv.ParseUint(number.Value, 10, 64)
	if err != nil {
		return store.Item{}, errors.Wrapf(store.ErrNotDone, "row version %q", number.Value)
	}
	item := store.Item{Key: partition.Value, Version: version}
	if sort.Value != soleSortKey {
		item.Key += "/" + sort.Value
	}
	if value, ok := row[valueAttribute].(*types.AttributeValueMemberB); ok {
		item.Value = value.Value
	}
	return item, nil
}

// Transact implements store.Table.
func (t *Table) Transact(ctx context.Context, writes []store.Write) error {
	if len(writes) > store.MaxTransactionWrites {
		return errors.Wrapf(store.ErrNotDone, "%d writes exceed the limit of a transaction", len(writes))
	}
	items, err := t.transactItems(writes)
	if err != nil || len(items) == 0 {
		return err
	}
	if err := ctx.Err(); err != nil {
		return errors.Wrap(store.ErrNotDone, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, t.callTimeout)
	defer cancel()
	_, err = t.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items})
	if err != nil {
		return classify(errors.Wrapf(err, "writing row %q", writes[0].Key))
	}
	return nil
}

func (t *Table) transactItems(writes []store.Write) ([]types.TransactWriteItem, error) {
	items := make([]types.TransactWriteItem, 0, len(writes))
	for _, w := range writes {
		key, err := primaryKey(w.Key)
		if err != nil {
			return nil, err
		}
		// A check without a condition always holds, and DynamoDB refuses it.
		if w.Kind == store.Check && w.Condition.Kind == store.Any {
			continue
		}
		items = append(items, t.transactItem(w, key))
	}
	return items, nil
}

func (t *Table) transactItem(w store.Write, key attributes) types.TransactWriteItem {
	condition, values := conditionOf(w.Condition)
	switch w.Kind {
	case store.Delete:
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: &t.name, Key: key, ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	case store.Check:
		return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName: &t.name, Key: key, ConditionExpression: condition, ExpressionAttributeValues: values,
		}}
	default:
		if values == nil {
			values = attributes{}
		}
		values[":b"] = &types.AttributeValueMemberB{Value: w.Value}
		values[":one"] = &types.AttributeValueMemberN{Value: "1"}
		return types.TransactWriteItem{Update: &types.Update{
			TableName: &t.name, Key: key, ConditionExpression: condition, ExpressionAttributeValues: values,
			UpdateExpression: aws.String("SET " + valueAttribute + " = :b ADD " + versionAttribute + " :one"),
		}}
	}
}

func conditionOf(c store.Condition) (*string, attributes) {
	switch c.Kind {
	case store.Absent:
		return aws.String("attribute_not_exists(" + partitionAttribute + ")"), nil
	case store.VersionIs:
		version := strconv.FormatUint(c.Version, 10)
		return aws.String(versionAttribute + " = :v"), attributes{":v": &types.AttributeValueMemberN{Value: version}}
	default:
		return nil, nil
	}
}

func classify(err error) error {
	var canceled *types.TransactionCanceledException
	if errors.As(err, &canceled) {
		for _, reason := range canceled.CancellationReasons {
			if aws.ToString(reason.Code) == "ConditionalCheckFailed" {
				return errors.Mark(err, store.ErrConditionFailed)
			}
		}
		return errors.Mark(err, store.ErrNotDone)
	}
	var failure store.Failure
	var response *awshttp.ResponseError
	if errors.As(err, &response) {
		failure.Status = response.HTTPStatusCode()
	}
	var stated smithy.APIError
	if errors.As(err, &stated) {
		failure.Code = stated.ErrorCode()
	}
	return store.ClassifyWrite(err, failure)
}
