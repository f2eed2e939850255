// Package table is a stand-in for the table service. It implements the
// operations and condition expressions of the DynamoDB protocol that the client
// in package store uses.
package table

import (
	"encoding/json"
	"maps"
	"net/http"
	"sort"
	"strings"
	"sync"

	"github.com/gorilla/mux"

	"peridotchute.example/standin/faults"
)

// Names of the key attributes.
const (
	partitionAttribute = "p"
	sortAttribute      = "k"
)

// Supported condition expressions.
const (
	conditionAbsent  = "attribute_not_exists(k)"
	conditionVersion = "version = :v"
	conditionPrefix  = "p = :p AND begins_with(k, :prefix)"
)

const (
	maxItemBytes = 400 << 10
	maxPageItems = 1000
)

// Counts are the operation counts since start.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Replica is the body of the control request that makes reads return an old state,
// as reads from a lagging replica would.
type Replica struct {
	Frozen bool `json:"frozen"` // reads return the state at the time when this was set
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	*faults.Injector
	mu     sync.Mutex
	items  map[string]Item // by sort key, which includes the partition key
	frozen map[string]Item // snapshot that reads return; nil means the current state
	counts Counts
}

// New returns an empty table.
func New() *Server {
	s := &Server{items: map[string]Item{}}
	r := mux.NewRouter()
	r.HandleFunc("/control/counts", s.getCounts).Methods(http.MethodGet)
	r.HandleFunc("/control/replica", s.putReplica).Methods(http.MethodPut)
	r.HandleFunc("/", s.serveRequest).Methods(http.MethodPost)
	s.Injector = faults.Wrap(r)
	return s
}

// SetReplica selects the state that reads return.
func (s *Server) SetReplica(r Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = nil
	if r.Frozen {
		s.frozen = maps.Clone(s.items)
	}
}

// Counts returns the operation counts since start.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Counts())
}

func (s *Server) putReplica(w http.ResponseWriter, r *http.Request) {
	var replica Replica
	if err := json.NewDecoder(r.Body).Decode(&replica); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetReplica(replica)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	var req request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeJSON(w, http.StatusBadRequest, validationError(err.Error()))
		return
	}
	_, operation, _ := strings.Cut(r.Header.Get("X-Amz-Target"), ".")
	reply, failure := s.execute(operation, req)
	if failure != nil {
		writeJSON(w, failure.status, failure)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

func (s *Server) execute(operation string, req request) (any, *serviceError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch operation {
	case "GetItem":
		s.counts.Reads++
		return getReply{Item: s.readItems()[req.Key.stringValue(sortAttribute)]}, nil
	case "Query":
		s.counts.Reads++
		return s.query(req)
	case "PutItem":
		s.counts.Writes++
		return s.put(req)
	case "DeleteItem":
		s.counts.Writes++
		return s.delete(req)
	}
	return nil, validationError("operation " + operation + " is not supported")
}

func (s *Server) readItems() map[string]Item {
	if s.frozen != nil {
		return s.frozen
	}
	return s.items
}

func (s *Server) put(req request) (any, *serviceError) {
	key := req.Item.stringValue(sortAttribute)
	if key == "" || req.Item.stringValue(partitionAttribute) == "" {
		return nil, validationError("one of the key attributes is missing")
	}
	if req.Item.size() > maxItemBytes {
		return nil, validationError("item size has exceeded the maximum allowed size")
	}
	if failure := s.checkCondition(key, req); failure != nil {
		return nil, failure
	}
	s.items[key] = req.Item
	return emptyReply{}, nil
}

func (s *Server) delete(req request) (any, *serviceError) {
	key := req.Key.stringValue(sortAttribute)
	if failure := s.checkCondition(key, req); failure != nil {
		return nil, failure
	}
	delete(s.items, key)
	return emptyReply{}, nil
}

// checkCondition evaluates the condition of a write against the current item.
func (s *Server) checkCondition(key string, req request) *serviceError {
	item, exists := s.items[key]
	switch req.ConditionExpression {
	case "":
		return nil
	case conditionAbsent:
		if exists {
			return conditionFailedError()
		}
		return nil
	case conditionVersion:
		if !exists || item.stringValue("version") != req.ExpressionAttributeValues.stringValue(":v") {
			return conditionFailedError()
		}
		return nil
	}
	return validationError("condition " + req.ConditionExpression + " is not supported")
}

func (s *Server) query(req request) (any, *serviceError) {
	if req.KeyConditionExpression != conditionPrefix {
		return nil, validationError("key condition " + req.KeyConditionExpression + " is not supported")
	}
	partition := req.ExpressionAttributeValues.stringValue(":p")
	prefix := req.ExpressionAttributeValues.stringValue(":prefix")
	after := req.ExclusiveStartKey.stringValue(sortAttribute)
	items := s.readItems()
	var keys []string
	for key, item := range items {
		if item.stringValue(partitionAttribute) == partition && strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	pageSize := maxPageItems
	if req.Limit > 0 {
		pageSize = min(pageSize, req.Limit)
	}
	reply := queryReply{Items: []Item{}}
	for _, key := range keys[:min(pageSize, len(keys))] {
		reply.Items = append(reply.Items, items[key])
	}
	reply.Count = len(reply.Items)
	if reply.Count < len(keys) {
		last := reply.Items[reply.Count-1]
		reply.LastEvaluatedKey = Item{partitionAttribute: last[partitionAttribute], sortAttribute: last[sortAttribute]}
	}
	return reply, nil
}
