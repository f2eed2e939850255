package faults

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"peridotchute.example/common/wire"
	"peridotchute.example/integration/cluster"
	"peridotchute.example/standin/plain"
)

const (
	chargePath     = "/services/" + cluster.SampleService + "/charge"
	requestTimeout = 8 * time.Second // deadline sent with each request
	clientTimeout  = 20 * time.Second
	maxAttempts    = 3 // of one action
	retryInterval  = 300 * time.Millisecond
	actionInterval = 20 * time.Millisecond // pause of a worker between two actions
)

// actionClient sends actions and records their outcomes.
type actionClient struct {
	cluster    *cluster.Cluster
	httpClient *http.Client
	seed       uint64

	mu       sync.Mutex
	requests []Request
}

func newActionClient(c *cluster.Cluster, seed uint64) *actionClient {
	return &actionClient{cluster: c, httpClient: &http.Client{Timeout: clientTimeout}, seed: seed}
}

// work sends one action after the other until ctx ends. Each worker has a random
// source derived from the seed.
func (c *actionClient) work(ctx context.Context, worker int) {
	rnd := rand.New(rand.NewPCG(c.seed, uint64(worker)))
	for n := 0; ctx.Err() == nil; n++ {
		c.runAction(rnd, fmt.Sprintf("s%d-w%d-%d", c.seed, worker, n))
		time.Sleep(actionInterval)
	}
}

// runAction sends one action and retries it at random entries until it is completed
// or out of attempts. One in eight actions is also sent to a second entry at the same
// time, and one in eight is sent once more at the end.
func (c *actionClient) runAction(rnd *rand.Rand, key string) {
	entries := c.cluster.Entries()
	first := rnd.IntN(len(entries))
	if rnd.IntN(8) == 0 {
		second := make(chan struct{})
		go func() {
			defer close(second)
			c.send(entries[(first+1)%len(entries)], key)
		}()
		defer func() { <-second }()
	}
	for range 1 + rnd.IntN(maxAttempts) {
		if c.send(entries[first], key) == wire.OutcomeCompleted {
			break
		}
		time.Sleep(retryInterval)
		first = rnd.IntN(len(entries))
	}
	if rnd.IntN(8) == 0 {
		c.send(entries[rnd.IntN(len(entries))], key)
	}
}

// send sends one request and records its outcome.
func (c *actionClient) send(e *cluster.Entry, key string) wire.Outcome {
	body := "charge " + key
	sum := sha256.Sum256([]byte(body))
	r := Request{Key: key, Digest: hex.EncodeToString(sum[:]), SentAt: time.Now()}
	r.Outcome, r.Receipt = c.exchange(e, key, body)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, r)
	return r.Outcome
}

func (c *actionClient) exchange(e *cluster.Entry, key, body string) (wire.Outcome, string) {
	req, err := http.NewRequest(http.MethodPost, e.URL()+chargePath, strings.NewReader(body))
	if err != nil {
		return "", ""
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+cluster.SampleKey)
	req.Header.Set(wire.HeaderIdempotency, key)
	req.Header.Set("X-Request-Timeout-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return "", ""
	}
	defer resp.Body.Close()
	var receipt plain.Receipt
	err = json.NewDecoder(resp.Body).Decode(&receipt)
	if err != nil {
		return "", ""
	}
	return wire.Outcome(resp.Header.Get(wire.HeaderOutcome)), receipt.Digest
}

// outcomeBody is the response body of GET /v1/actions/{key}.
type outcomeBody struct {
	Outcome wire.Outcome `json:"outcome"`
	Code    string       `json:"code"`
}

var errInProgress = errors.New("the action is still in progress")

// readOutcome gets the stored outcome from an entry. For an action that is still in
// progress it returns the outcome with errInProgress.
func (c *actionClient) readOutcome(e *cluster.Entry, key string) (StoredOutcome, error) {
	req, err := http.NewRequest(http.MethodGet, e.URL()+"/v1/actions/"+key, nil)
	if err != nil {
		return StoredOutcome{}, err
	}
	req.Header.Set("Authorization", "Bearer "+cluster.SampleKey)
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return StoredOutcome{}, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return StoredOutcome{}, err
	case resp.StatusCode == http.StatusNotFound:
		return StoredOutcome{}, nil
	case resp.StatusCode != http.StatusOK:
		return StoredOutcome{}, fmt.Errorf("outcome of %s: %s", key, resp.Status)
	}
	var body outcomeBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return StoredOutcome{}, err
	}
	outcome := StoredOutcome{Found: true, Outcome: body.Outcome, Code: body.Code}
	if outcome.Outcome == wire.OutcomeUnknown && outcome.Code != codeUnresolved {
		return outcome, errInProgress
	}
	return outcome, nil
}
