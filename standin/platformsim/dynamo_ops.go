package platformsim

import (
	"context"
	"encoding/json"
	"regexp"
	"strconv"

	"almondstile/store"

	"github.com/cockroachdb/errors"
)

type getItemInput struct {
	Key            attributes
	ConsistentRead bool
}

type getItemOutput struct {
	Item attributes `json:"Item,omitempty"`
}

func (c *Client) getItem(ctx context.Context, body []byte) (any, error) {
	var in getItemInput
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, errors.Wrap(errInvalid, err.Error())
	}
	key, err := in.Key.key()
	if err != nil {
		return nil, err
	}
	item, err := c.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return getItemOutput{}, nil
	}
	if err != nil {
		return nil, err
	}
	return getItemOutput{Item: attributesOf(item)}, nil
}

type queryInput struct {
	KeyConditionExpression    string
	ExpressionAttributeValues attributes
	ExclusiveStartKey         attributes
	Limit                     int
}

type queryOutput struct {
	Items            []attributes
	Count            int
	LastEvaluatedKey attributes `json:"LastEvaluatedKey,omitempty"`
}

// partitionCondition matches the only supported KeyConditionExpression: the
// partition key equals a parameter.
var partitionCondition = regexp.MustCompile(`^\s*` + partitionAttribute + `\s*=\s*(:\w+)\s*$`)

func (c *Client) queryItems(ctx context.Context, body []byte) (any, error) {
	var in queryInput
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, errors.Wrap(errInvalid, err.Error())
	}
	match := partitionCondition.FindStringSubmatch(in.KeyConditionExpression)
	if match == nil || in.ExpressionAttributeValues[match[1]].S == nil {
		return nil, errors.Wrapf(errInvalid, "key condition %q is not supported", in.KeyConditionExpression)
	}
	after := ""
	if in.ExclusiveStartKey != nil {
		key, err := in.ExclusiveStartKey.key()
		if err != nil {
			return nil, err
		}
		after = key
	}
	found, err := c.Query(ctx, *in.ExpressionAttributeValues[match[1]].S+"/")
	if err != nil {
		return nil, err
	}
	return queryPage(found, after, in.Limit), nil
}

// queryPage returns the next page of a query: the items whose keys sort after
// the key after. A page has at most queryPageItems items, or limit if that is
// smaller and not 0. LastEvaluatedKey is set if further items follow.
func queryPage(found []store.Item, after string, limit int) queryOutput {
	size := queryPageItems
	if limit > 0 {
		size = min(size, limit)
	}
	out := queryOutput{Items: []attributes{}}
	for _, item := range found {
		if item.Key <= after {
			continue
		}
		if out.Count == size {
			last := out.Items[size-1]
			out.LastEvaluatedKey = attributes{
				partitionAttribute: last[partitionAttribute], sortAttribute: last[sortAttribute],
			}
			break
		}
		out.Items = append(out.Items, attributesOf(item))
		out.Count++
	}
	return out
}

type transactInput struct {
	TransactItems []transactItem
}

type transactItem struct {
	Update         *transactOperation
	Delete         *transactOperation
	ConditionCheck *transactOperation
}

type transactOperation struct {
	Key                       attributes
	UpdateExpression          string
	ConditionExpression       string
	ExpressionAttributeValues attributes
}

func (c *Client) transactItems(ctx context.Context, body []byte) (any, error) {
	var in transactInput
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, errors.Wrap(errInvalid, err.Error())
	}
	writes := make([]store.Write, len(in.TransactItems))
	for i, item := range in.TransactItems {
		write, err := item.toWrite()
		if err != nil {
			return nil, err
		}
		writes[i] = write
	}
	failed, err := c.transact(ctx, writes)
	if errors.Is(err, store.ErrConditionFailed) {
		return nil, canceledError{err, failed}
	}
	return struct{}{}, err
}

// toWrite converts the transaction item to a write. It returns errInvalid for
// unsupported operations and expressions.
func (t transactItem) toWrite() (store.Write, error) {
	switch {
	case t.Update != nil:
		return t.Update.toPut()
	case t.Delete != nil:
		return t.Delete.toWrite(store.Delete)
	case t.ConditionCheck != nil && t.ConditionCheck.ConditionExpression != "":
		return t.ConditionCheck.toWrite(store.Check)
	default:
		return store.Write{}, errors.Wrap(errInvalid, "the operation of a transaction item is not supported")
	}
}

// putExpression matches the only supported UpdateExpression. It replaces the
// value and adds a parameter, which must be 1, to the version.
var putExpression = regexp.MustCompile(
	`^\s*SET\s+` + valueAttribute + `\s*=\s*(:\w+)\s+ADD\s+` + versionAttribute + `\s+(:\w+)\s*$`)

// toPut converts an Update operation to a write of kind store.Put.
func (o *transactOperation) toPut() (store.Write, error) {
	match := putExpression.FindStringSubmatch(o.UpdateExpression)
	if match == nil {
		return store.Write{}, errors.Wrapf(errInvalid, "update %q is not supported", o.UpdateExpression)
	}
	if increment := o.ExpressionAttributeValues[match[2]].N; increment == nil || *increment != "1" {
		return store.Write{}, errors.Wrap(errInvalid, "the version must grow by one")
	}
	write, err := o.toWrite(store.Put)
	write.Value = o.ExpressionAttributeValues[match[1]].B
	return write, err
}

// Patterns of the supported ConditionExpressions: the row does not exist, or it
// has the given version.
var (
	absentCondition  = regexp.MustCompile(`^\s*attribute_not_exists\(\s*` + partitionAttribute + `\s*\)\s*$`)
	versionCondition = regexp.MustCompile(`^\s*` + versionAttribute + `\s*=\s*(:\w+)\s*$`)
)

// toWrite returns a write of the given kind with the operation's key and
// condition, and without a value.
func (o *transactOperation) toWrite(kind store.WriteKind) (store.Write, error) {
	key, err := o.Key.key()
	write := store.Write{Kind: kind, Key: key}
	if err != nil || o.ConditionExpression == "" {
		return write, err
	}
	if absentCondition.MatchString(o.ConditionExpression) {
		write.Condition.Kind = store.Absent
		return write, nil
	}
	match := versionCondition.FindStringSubmatch(o.ConditionExpression)
	if match == nil || o.ExpressionAttributeValues[match[1]].N == nil {
		return write, errors.Wrapf(errInvalid, "condition %q is not supported", o.ConditionExpression)
	}
	version, err := strconv.ParseUint(*o.ExpressionAttributeValues[match[1]].N, 10, 64)
	if err != nil {
		return write, errors.Wrap(errInvalid, err.Error())
	}
	write.Condition = store.Condition{Kind: store.VersionIs, Version: version}
	return write, nil
}
