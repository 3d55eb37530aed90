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

// These constants are the names of the table's attributes and the sort key of a row
// whose key has no '/'. The package comment describes them.
const (
	partitionAttribute   = "p"
	sortAttribute        = "s"
	versionAttribute     = "v"
	valueAttribute       = "b"
	singleSegmentSortKey = "-"
)

// attributeMap holds the values of attributes, or of the placeholders of an
// expression, by name.
type attributeMap = map[string]types.AttributeValue

// primaryKey splits a row's key at its first '/' into partition key and sort key. It
// returns an error if one of the parts is empty. It also returns an error if the
// second part equals singleSegmentSortKey, because the row could not be distinguished
// from one whose key has no '/'.
func primaryKey(key string) (attributeMap, error) {
	partition, sort, found := strings.Cut(key, "/")
	if !found {
		sort = singleSegmentSortKey
	} else if sort == "" || sort == singleSegmentSortKey {
		return nil, errors.Wrapf(store.ErrNotDone, "invalid key %q: nothing or only \"-\" follows the first '/'", key)
	}
	if partition == "" {
		return nil, errors.Wrapf(store.ErrNotDone, "invalid key %q: the part before the first '/' is empty", key)
	}
	return attributeMap{
		partitionAttribute: &types.AttributeValueMemberS{Value: partition},
		sortAttribute:      &types.AttributeValueMemberS{Value: sort},
	}, nil
}

// Get implements store.Table. An error of the service is marked store.ErrNotDone.
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
	return decodeItem(out.Item)
}

// Query implements store.Table. Other prefixes than a partition key with a final '/'
// are an error, because a query reads exactly one partition.
func (t *Table) Query(ctx context.Context, prefix string) ([]store.Item, error) {
	partition, rest, found := strings.Cut(prefix, "/")
	if !found || rest != "" || partition == "" {
		return nil, errors.Wrapf(store.ErrNotDone, "invalid prefix %q: its only '/' must be its last character", prefix)
	}
	ctx, cancel := context.WithTimeout(ctx, t.callTimeout)
	defer cancel()
	pages := dynamodb.NewQueryPaginator(t.client, &dynamodb.QueryInput{
		TableName:                 &t.name,
		ConsistentRead:            aws.Bool(true),
		KeyConditionExpression:    aws.String(partitionAttribute + " = :p"),
		ExpressionAttributeValues: attributeMap{":p": &types.AttributeValueMemberS{Value: partition}},
	})
	var items []store.Item
	for pages.HasMorePages() {
		page, err := pages.NextPage(ctx)
		if err != nil {
			return nil, store.ClassifyRead(errors.Wrapf(err, "querying the rows with prefix %q", prefix))
		}
		for _, row := range page.Items {
			item, err := decodeItem(row)
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

// decodeItem decodes a row of the table. It returns an error if the row lacks a key
// attribute or a valid version.
func decodeItem(row attributeMap) (store.Item, error) {
	partition, hasPartition := row[partitionAttribute].(*types.AttributeValueMemberS)
	sort, hasSort := row[sortAttribute].(*types.AttributeValueMemberS)
	number, hasVersion := row[versionAttribute].(*types.AttributeValueMemberN)
	if !hasPartition || !hasSort || !hasVersion {
		return store.Item{}, errors.Wrap(store.ErrNotDone, "a row lacks a key attribute or the version")
	}
	version, err := strconv.ParseUint(number.Value, 10, 64)
	if err != nil {
		return store.Item{}, errors.Wrapf(store.ErrNotDone, "a row has the invalid version %q", number.Value)
	}
	item := store.Item{Key: partition.Value, Version: version}
	if sort.Value != singleSegmentSortKey {
		item.Key += "/" + sort.Value
	}
	if value, ok := row[valueAttribute].(*types.AttributeValueMemberB); ok {
		item.Value = value.Value
	}
	return item, nil
}

// Transact implements store.Table. An empty transaction succeeds without a call.
func (t *Table) Transact(ctx context.Context, writes []store.Write) error {
	if len(writes) > store.MaxTransactionWrites {
		return errors.Wrapf(store.ErrNotDone, "%d writes exceed the limit of one transaction", len(writes))
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
		return classifyTransactError(errors.Wrapf(err, "writing row %q", writes[0].Key))
	}
	return nil
}

// transactItems converts the writes to the request's form.
func (t *Table) transactItems(writes []store.Write) ([]types.TransactWriteItem, error) {
	items := make([]types.TransactWriteItem, 0, len(writes))
	for _, w := range writes {
		key, err := primaryKey(w.Key)
		if err != nil {
			return nil, err
		}
		// A check without a condition always holds. It is left out because DynamoDB
		// refuses it.
		if w.Kind == store.Check && w.Condition.Kind == store.Any {
			continue
		}
		items = append(items, t.transactItem(w, key))
	}
	return items, nil
}

// transactItem converts one write with the given primary key. A Put becomes an
// update that sets the value and increments the version.
func (t *Table) transactItem(w store.Write, key attributeMap) types.TransactWriteItem {
	condition, values := conditionExpression(w.Condition)
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
			values = attributeMap{}
		}
		values[":b"] = &types.AttributeValueMemberB{Value: w.Value}
		values[":one"] = &types.AttributeValueMemberN{Value: "1"}
		return types.TransactWriteItem{Update: &types.Update{
			TableName: &t.name, Key: key, ConditionExpression: condition, ExpressionAttributeValues: values,
			UpdateExpression: aws.String("SET " + valueAttribute + " = :b ADD " + versionAttribute + " :one"),
		}}
	}
}

// conditionExpression returns the condition as an expression of DynamoDB and the
// values of the expression's placeholders. Both are nil for store.Any.
func conditionExpression(c store.Condition) (*string, attributeMap) {
	switch c.Kind {
	case store.Absent:
		return aws.String("attribute_not_exists(" + partitionAttribute + ")"), nil
	case store.VersionIs:
		version := strconv.FormatUint(c.Version, 10)
		return aws.String(versionAttribute + " = :v"), attributeMap{":v": &types.AttributeValueMemberN{Value: version}}
	default:
		return nil, nil
	}
}

// classifyTransactError marks the error of a failed transaction. A transaction that
// the service canceled had no effect. Other errors are marked by
// store.ClassifyWrite.
func classifyTransactError(err error) error {
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
	var apiError smithy.APIError
	if errors.As(err, &apiError) {
		failure.Code = apiError.ErrorCode()
	}
	return store.ClassifyWrite(err, failure)
}
