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

// Item is one item: its attributes by name.
type Item map[string]Attribute

func (i Item) text(name string) string {
	if a, ok := i[name]; ok && a.S != nil {
		return *a.S
	}
	return ""
}

// size returns the item's size in bytes, as the service counts it.
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

// call is the union of the requests that the stand-in answers.
type call struct {
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

// serviceError is an error of the protocol.
type serviceError struct {
	status  int
	Type    string `json:"__type"`
	Message string `json:"message"`
}

const errorPrefix = "com.amazonaws.dynamodb.v20120810#"

func invalid(message string) *serviceError {
	return &serviceError{status: http.StatusBadRequest, Type: "com.amazon.coral.validate#ValidationException", Message: message}
}

func conditionFailed() *serviceError {
	return &serviceError{
		status:  http.StatusBadRequest,
		Type:    errorPrefix + "ConditionalCheckFailedException",
		Message: "The conditional request failed",
	}
}

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
