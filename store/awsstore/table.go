package awsstore

import (
	"context"
	"errors"
	"maps"
	"strings"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"github.com/papayarail/papayarail/store"
)

// The item key "group/name" is stored as a partition key and a sort key, so
// that a prefix query reads one partition.
const (
	partitionKey = "pk"
	sortKey      = "sk"
)

// Table is a DynamoDB table with the string keys pk (partition) and sk (sort).
type Table struct {
	client  *dynamodb.Client
	name    string
	timeout time.Duration
}

var _ store.Table = (*Table)(nil)

// Get implements store.Table.
func (t *Table) Get(ctx context.Context, key string, c store.Consistency) (store.Item, error) {
	operation := "get item " + key
	group, name, err := splitKey(key)
	if err != nil {
		return store.Item{}, err
	}
	ctx, cancel, err := startCall(ctx, operation, t.timeout)
	if err != nil {
		return store.Item{}, err
	}
	defer cancel()
	output, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(t.name),
		Key:            toAttributes(group, name, nil),
		ConsistentRead: aws.Bool(bool(c)),
	})
	if err != nil {
		return store.Item{}, classify(operation, true, err)
	}
	if output.Item == nil {
		return store.Item{}, Error.Wrap(notFound(operation))
	}
	return fromAttributes(output.Item)
}

// Put implements store.Table.
func (t *Table) Put(ctx context.Context, item store.Item, c store.Condition) error {
	operation := "put item " + item.Key
	group, name, err := splitKey(item.Key)
	if err != nil {
		return err
	}
	ctx, cancel, err := startCall(ctx, operation, t.timeout)
	if err != nil {
		return err
	}
	defer cancel()
	input := &dynamodb.PutItemInput{TableName: aws.String(t.name), Item: toAttributes(group, name, item.Attributes)}
	switch {
	case c.Absent:
		input.ConditionExpression = aws.String("attribute_not_exists(#a)")
		input.ExpressionAttributeNames = map[string]string{"#a": partitionKey}
	case c.Attribute != "":
		input.ConditionExpression = aws.String("#a = :v")
		input.ExpressionAttributeNames = map[string]string{"#a": c.Attribute}
		input.ExpressionAttributeValues = map[string]types.AttributeValue{":v": stringValue(c.Value)}
	}
	_, err = t.client.PutItem(ctx, input)
	var failed *types.ConditionalCheckFailedException
	if errors.As(err, &failed) {
		return Error.New("%s: %w", operation, store.ErrConditionFailed)
	}
	if err != nil {
		return classify(operation, false, err)
	}
	return nil
}

// Query implements store.Table. The timeout covers all pages together.
func (t *Table) Query(ctx context.Context, prefix string, c store.Consistency) ([]store.Item, error) {
	operation := "query " + prefix
	group, name, ok := strings.Cut(prefix, "/")
	if !ok || group == "" {
		return nil, Error.New("%s: the prefix has no group followed by a slash", operation)
	}
	ctx, cancel, err := startCall(ctx, operation, t.timeout)
	if err != nil {
		return nil, err
	}
	defer cancel()
	input := &dynamodb.QueryInput{
		TableName:                 aws.String(t.name),
		ConsistentRead:            aws.Bool(bool(c)),
		KeyConditionExpression:    aws.String("#p = :p"),
		ExpressionAttributeNames:  map[string]string{"#p": partitionKey},
		ExpressionAttributeValues: map[string]types.AttributeValue{":p": stringValue(group)},
	}
	if name != "" { // DynamoDB rejects an empty key value
		input.KeyConditionExpression = aws.String("#p = :p AND begins_with(#s, :s)")
		input.ExpressionAttributeNames["#s"] = sortKey
		input.ExpressionAttributeValues[":s"] = stringValue(name)
	}
	var items []store.Item
	pages := dynamodb.NewQueryPaginator(t.client, input)
	for pages.HasMorePages() {
		page, err := pages.NextPage(ctx)
		if err != nil {
			return nil, classify(operation, true, err)
		}
		for _, attrs := range page.Items {
			item, err := fromAttributes(attrs)
			if err != nil {
				return nil, err
			}
			items = append(items, item)
		}
	}
	return items, nil
}

// splitKey returns the two parts of a key of the form "group/name".
func splitKey(key string) (group, name string, err error) {
	group, name, ok := strings.Cut(key, "/")
	if !ok || group == "" || name == "" {
		return "", "", Error.New("key %q has not the form group/name", key)
	}
	return group, name, nil
}

func stringValue(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func toAttributes(group, name string, attrs map[string]string) map[string]types.AttributeValue {
	out := map[string]types.AttributeValue{}
	for key, value := range attrs {
		out[key] = stringValue(value)
	}
	maps.Copy(out, map[string]types.AttributeValue{partitionKey: stringValue(group), sortKey: stringValue(name)})
	return out
}

// fromAttributes converts a DynamoDB item. Numbers, which the platform may use in the
// items that it writes itself, become decimal strings; attributes of other types are
// dropped.
func fromAttributes(attrs map[string]types.AttributeValue) (store.Item, error) {
	attributes := map[string]string{}
	for key, value := range attrs {
		switch v := value.(type) {
		case *types.AttributeValueMemberS:
			attributes[key] = v.Value
		case *types.AttributeValueMemberN:
			attributes[key] = v.Value
		}
	}
	group, name := attributes[partitionKey], attributes[sortKey]
	if group == "" || name == "" {
		return store.Item{}, Error.New("an item has no string keys %s and %s", partitionKey, sortKey)
	}
	delete(attributes, partitionKey)
	delete(attributes, sortKey)
	return store.Item{Key: group + "/" + name, Attributes: attributes}, nil
}
