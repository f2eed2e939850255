package table

import (
	"encoding/json"
	"net/http"
)

// Attribute is one attribute value of the DynamoDB protocol.
type Attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B *[]byte `json:"B,omitempty"`
}

// Item is an item of the table: its attributes by name.
type Item map[string]Attribute

func (i Item) stringValue(name string) string {
	if a, ok := i[name]; ok && a.S != nil {
		return *a.S
	}
	return ""
}

// size returns the size of the item in bytes as DynamoDB computes it.
func (i Item) size() int {
	total := 0
	for name, a := range i {
		total += len(name)
		switch {
		case a.S != nil:
			total += len(*a.S)
		case a.N != nil:
			total += len(*a.N)
		case a.B != nil:
			total += len(*a.B)
		}
	}
	return total
}

// request is the union of the supported request bodies.
type request struct {
	TableName                 string
	Key                       Item
	Item                      Item
	ConditionExpression       string
	KeyConditionExpression    string
	ExpressionAttributeValues Item
	ExclusiveStartKey         Item
	Limit                     int
	ConsistentRead            bool
}

type getReply struct {
	Item Item `json:"Item,omitempty"`
}

type queryReply struct {
	Items            []Item
	Count            int
	LastEvaluatedKey Item `json:"LastEvaluatedKey,omitempty"`
}

type emptyReply struct{}

// serviceError is an error response of the protocol.
type serviceError struct {
	status  int
	Type    string `json:"__type"`
	Message string `json:"message"`
}

const errorPrefix = "com.amazonaws.dynamodb.v20120810#"

func validationError(message string) *serviceError {
	return &serviceError{status: http.StatusBadRequest, Type: "com.amazon.coral.validate#ValidationException", Message: message}
}

func conditionFailedError() *serviceError {
	return &serviceError{
		status:  http.StatusBadRequest,
		Type:    errorPrefix + "ConditionalCheckFailedException",
		Message: "The conditional request failed",
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
