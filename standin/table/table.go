// Package table is a stand-in for the table service: the DynamoDB protocol
// with the operations and the few condition expressions that the client in
// package platform sends.
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

// The condition expressions that are understood.
const (
	conditionAbsent  = "attribute_not_exists(k)"
	conditionVersion = "version = :v"
	conditionPrefix  = "p = :p AND begins_with(k, :prefix)"
)

const (
	maxItemBytes = 400 << 10
	maxPageItems = 1000
)

// Counts are the operations answered since the start.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Replica says which state reads are answered from.
type Replica struct {
	Frozen bool `json:"frozen"` // reads see the state of the moment in which this was set
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	*faults.Injector
	mu     sync.Mutex
	items  map[string]Item // by sort key, which contains the partition
	frozen map[string]Item // state that reads are answered from, nil when current
	counts Counts
}

// New returns an empty table.
func New() *Server {
	s := &Server{items: map[string]Item{}}
	r := mux.NewRouter()
	r.HandleFunc("/control/counts", s.getCounts).Methods(http.MethodGet)
	r.HandleFunc("/control/replica", s.putReplica).Methods(http.MethodPut)
	r.HandleFunc("/", s.call).Methods(http.MethodPost)
	s.Injector = faults.Wrap(r)
	return s
}

// SetReplica chooses the state that reads are answered from.
func (s *Server) SetReplica(r Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = nil
	if r.Frozen {
		s.frozen = maps.Clone(s.items)
	}
}

// Counts returns the operations answered so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	write(w, http.StatusOK, s.Counts())
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

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	var c call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		write(w, http.StatusBadRequest, invalid(err.Error()))
		return
	}
	_, operation, _ := strings.Cut(r.Header.Get("X-Amz-Target"), ".")
	reply, failure := s.do(operation, c)
	if failure != nil {
		write(w, failure.status, failure)
		return
	}
	write(w, http.StatusOK, reply)
}

func (s *Server) do(operation string, c call) (any, *serviceError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch operation {
	case "GetItem":
		s.counts.Reads++
		return getReply{Item: s.readable()[c.Key.text(sortAttribute)]}, nil
	case "Query":
		s.counts.Reads++
		return s.query(c)
	case "PutItem":
		s.counts.Writes++
		return s.put(c)
	case "DeleteItem":
		s.counts.Writes++
		return s.delete(c)
	}
	return nil, invalid("operation " + operation + " is not part of the stand-in")
}

func (s *Server) readable() map[string]Item {
	if s.frozen != nil {
		return s.frozen
	}
	return s.items
}

func (s *Server) put(c call) (any, *serviceError) {
	key := c.Item.text(sortAttribute)
	if key == "" || c.Item.text(partitionAttribute) == "" {
		return nil, invalid("one of the key attributes is missing")
	}
	if c.Item.size() > maxItemBytes {
		return nil, invalid("item size has exceeded the maximum allowed size")
	}
	if failure := s.check(key, c); failure != nil {
		return nil, failure
	}
	s.items[key] = c.Item
	return emptyReply{}, nil
}

func (s *Server) delete(c call) (any, *serviceError) {
	key := c.Key.text(sortAttribute)
	if failure := s.check(key, c); failure != nil {
		return nil, failure
	}
	delete(s.items, key)
	return emptyReply{}, nil
}

// check evaluates the condition of a write against the current item.
func (s *Server) check(key string, c call) *serviceError {
	item, exists := s.items[key]
	switch c.ConditionExpression {
	case "":
		return nil
	case conditionAbsent:
		if exists {
			return conditionFailed()
		}
		return nil
	case conditionVersion:
		if !exists || item.text("version") != c.ExpressionAttributeValues.text(":v") {
			return conditionFailed()
		}
		return nil
	}
	return invalid("condition " + c.ConditionExpression + " is not part of the stand-in")
}

func (s *Server) query(c call) (any, *serviceError) {
	if c.KeyConditionExpression != conditionPrefix {
		return nil, invalid("key condition " + c.KeyConditionExpression + " is not part of the stand-in")
	}
	partition := c.ExpressionAttributeValues.text(":p")
	prefix := c.ExpressionAttributeValues.text(":prefix")
	after := c.ExclusiveStartKey.text(sortAttribute)
	items := s.readable()
	var keys []string
	for key, item := range items {
		if item.text(partitionAttribute) == partition && strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := maxPageItems
	if c.Limit > 0 {
		page = min(page, c.Limit)
	}
	reply := queryReply{Items: []Item{}}
	for _, key := range keys[:min(page, len(keys))] {
		reply.Items = append(reply.Items, items[key])
	}
	reply.Count = len(reply.Items)
	if reply.Count < len(keys) {
		last := reply.Items[reply.Count-1]
		reply.LastEvaluatedKey = Item{partitionAttribute: last[partitionAttribute], sortAttribute: last[sortAttribute]}
	}
	return reply, nil
}
