package store

import (
	"context"
	"strings"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/google/uuid"

	"peridotchute.example/common/fault"
)

// Attributes of a row. The partition is the first segment of the key, so that a
// prefix can be listed with one query.
const (
	attrPartition = "p"
	attrKey       = "k"
	attrValue     = "value"
	attrVersion   = "version"
)

// Conditions of writes and queries.
const (
	exprAbsent  = "attribute_not_exists(k)"
	exprVersion = "version = :v"
	exprPrefix  = "p = :p AND begins_with(k, :prefix)"
)

// dynamoTable is a client of one DynamoDB table. All reads are strongly consistent.
type dynamoTable struct {
	client  *dynamodb.Client
	name    string
	peer    string
	timeout time.Duration
}

// NewTable returns a client of the table service. Calls are not retried.
func NewTable(s TableSettings) Table {
	return &dynamoTable{
		client:  dynamodb.NewFromConfig(awsConfig(s.URL)),
		name:    s.Name,
		peer:    s.URL,
		timeout: timeout(s.Timeout),
	}
}

func (t *dynamoTable) begin(ctx context.Context, step string) (context.Context, context.CancelFunc, *attempt) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	ctx, a := newAttempt(ctx, step, t.peer)
	return ctx, cancel, a
}

// Get reads one row.
func (t *dynamoTable) Get(ctx context.Context, key string) (Row, error) {
	ctx, cancel, a := t.begin(ctx, "table.get")
	defer cancel()
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      &t.name,
		Key:            keyOf(key),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return Row{}, a.readError(err)
	}
	if len(out.Item) == 0 {
		return Row{}, fault.Newf(fault.KindNotFound, a.step, t.peer, "no row %q", key)
	}
	return rowOf(out.Item), nil
}

// Put writes a row, replacing any existing one.
func (t *dynamoTable) Put(ctx context.Context, key string, value []byte) (Row, error) {
	return t.put(ctx, "table.put", key, value, nil, nil)
}

// PutIfAbsent writes a row if it does not exist. Otherwise it returns KindConflict.
func (t *dynamoTable) PutIfAbsent(ctx context.Context, key string, value []byte) (Row, error) {
	return t.put(ctx, "table.put-if-absent", key, value, aws.String(exprAbsent), nil)
}

// CompareAndSet writes a row if it has the given version. Otherwise it returns
// KindConflict.
func (t *dynamoTable) CompareAndSet(ctx context.Context, key, version string, value []byte) (Row, error) {
	return t.put(ctx, "table.compare-and-set", key, value, aws.String(exprVersion), versionValue(version))
}

func (t *dynamoTable) put(ctx context.Context, step, key string, value []byte, condition *string, values attributes) (Row, error) {
	ctx, cancel, a := t.begin(ctx, step)
	defer cancel()
	row := Row{Key: key, Value: value, Version: uuid.NewString()}
	item := keyOf(key)
	item[attrValue] = &types.AttributeValueMemberB{Value: value}
	item[attrVersion] = stringValue(row.Version)
	_, err := t.client.PutItem(ctx, &dynamodb.PutItemInput{
		TableName:                 &t.name,
		Item:                      item,
		ConditionExpression:       condition,
		ExpressionAttributeValues: values,
	})
	if err != nil {
		return Row{}, a.writeError(err)
	}
	return row, nil
}

// Delete removes a row if it has the given version. Otherwise it returns
// KindConflict.
func (t *dynamoTable) Delete(ctx context.Context, key, version string) error {
	ctx, cancel, a := t.begin(ctx, "table.delete")
	defer cancel()
	_, err := t.client.DeleteItem(ctx, &dynamodb.DeleteItemInput{
		TableName:                 &t.name,
		Key:                       keyOf(key),
		ConditionExpression:       aws.String(exprVersion),
		ExpressionAttributeValues: versionValue(version),
	})
	if err != nil {
		return a.writeError(err)
	}
	return nil
}

// List returns rows in order of key. The prefix must contain the first segment of
// the key and the slash after it.
func (t *dynamoTable) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	ctx, cancel, a := t.begin(ctx, "table.list")
	defer cancel()
	if !strings.Contains(prefix, "/") {
		return nil, fault.Newf(fault.KindInvalid, a.step, t.peer, "prefix %q lacks a first segment with a slash", prefix)
	}
	in := &dynamodb.QueryInput{
		TableName:              &t.name,
		KeyConditionExpression: aws.String(exprPrefix),
		ExpressionAttributeValues: attributes{
			":p":      stringValue(partitionOf(prefix)),
			":prefix": stringValue(prefix),
		},
		ConsistentRead: aws.Bool(true),
	}
	if after > prefix {
		in.ExclusiveStartKey = keyOf(after)
	}
	var rows []Row
	for len(rows) < limit {
		in.Limit = aws.Int32(int32(limit - len(rows)))
		out, err := t.client.Query(ctx, in)
		if err != nil {
			return nil, a.readError(err)
		}
		for _, item := range out.Items {
			rows = append(rows, rowOf(item))
		}
		if len(out.LastEvaluatedKey) == 0 {
			break
		}
		in.ExclusiveStartKey = out.LastEvaluatedKey
	}
	return rows, nil
}

// attributes maps names to DynamoDB attribute values.
type attributes = map[string]types.AttributeValue

func stringValue(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func partitionOf(key string) string {
	partition, _, _ := strings.Cut(key, "/")
	return partition
}

func keyOf(key string) attributes {
	return attributes{attrPartition: stringValue(partitionOf(key)), attrKey: stringValue(key)}
}

func versionValue(version string) attributes { return attributes{":v": stringValue(version)} }

func rowOf(item attributes) Row {
	var row Row
	if k, ok := item[attrKey].(*types.AttributeValueMemberS); ok {
		row.Key = k.Value
	}
	if v, ok := item[attrVersion].(*types.AttributeValueMemberS); ok {
		row.Version = v.Value
	}
	if b, ok := item[attrValue].(*types.AttributeValueMemberB); ok {
		row.Value = b.Value
	}
	return row
}
