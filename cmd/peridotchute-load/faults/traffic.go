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
	requestTimeout = 8 * time.Second // the caller's own deadline
	clientTimeout  = 20 * time.Second
	repeats        = 3 // at most, of one action
	repeatPause    = 300 * time.Millisecond
	pause          = 20 * time.Millisecond
)

// caller sends actions and keeps what it was told.
type caller struct {
	cluster *cluster.Cluster
	client  *http.Client
	seed    uint64

	mu   sync.Mutex
	asks []Ask
}

func newCaller(c *cluster.Cluster, seed uint64) *caller {
	return &caller{cluster: c, client: &http.Client{Timeout: clientTimeout}, seed: seed}
}

// work sends one action after the other until ctx ends. Each worker's choices
// follow from the seed.
func (c *caller) work(ctx context.Context, worker int) {
	rnd := rand.New(rand.NewPCG(c.seed, uint64(worker)))
	for n := 0; ctx.Err() == nil; n++ {
		c.action(rnd, fmt.Sprintf("s%d-w%d-%d", c.seed, worker, n))
		time.Sleep(pause)
	}
}

// action asks for one action, now and then at two entries at once, and repeats
// it elsewhere when it was not completed.
func (c *caller) action(rnd *rand.Rand, key string) {
	entries := c.cluster.Entries()
	first := rnd.IntN(len(entries))
	if rnd.IntN(8) == 0 {
		second := make(chan struct{})
		go func() {
			defer close(second)
			c.ask(entries[(first+1)%len(entries)], key)
		}()
		defer func() { <-second }()
	}
	for range 1 + rnd.IntN(repeats) {
		if c.ask(entries[first], key) == wire.OutcomeCompleted {
			break
		}
		time.Sleep(repeatPause)
		first = rnd.IntN(len(entries))
	}
	if rnd.IntN(8) == 0 {
		c.ask(entries[rnd.IntN(len(entries))], key)
	}
}

// ask sends one request and keeps what it was told.
func (c *caller) ask(e *cluster.Entry, key string) wire.Outcome {
	body := "charge " + key
	sum := sha256.Sum256([]byte(body))
	a := Ask{Key: key, Digest: hex.EncodeToString(sum[:]), Began: time.Now()}
	a.Outcome, a.Receipt = c.exchange(e, key, body)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asks = append(c.asks, a)
	return a.Outcome
}

func (c *caller) exchange(e *cluster.Entry, key, body string) (wire.Outcome, string) {
	req, err := http.NewRequest(http.MethodPost, e.URL()+chargePath, strings.NewReader(body))
	if err != nil {
		return "", ""
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+cluster.SampleKey)
	req.Header.Set(wire.HeaderIdempotency, key)
	req.Header.Set("X-Request-Timeout-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	resp, err := c.client.Do(req)
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

// outcomeBody is what GET /v1/actions/{key} answers.
type outcomeBody struct {
	Outcome wire.Outcome `json:"outcome"`
	Code    string       `json:"code"`
}

var errOpen = errors.New("the action is still open")

// fate asks an entry for the stored outcome. An action that is still open is
// returned with errOpen.
func (c *caller) fate(e *cluster.Entry, key string) (Fate, error) {
	req, err := http.NewRequest(http.MethodGet, e.URL()+"/v1/actions/"+key, nil)
	if err != nil {
		return Fate{}, err
	}
	req.Header.Set("Authorization", "Bearer "+cluster.SampleKey)
	resp, err := c.client.Do(req)
	if err != nil {
		return Fate{}, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return Fate{}, err
	case resp.StatusCode == http.StatusNotFound:
		return Fate{}, nil
	case resp.StatusCode != http.StatusOK:
		return Fate{}, fmt.Errorf("outcome of %s: %s", key, resp.Status)
	}
	var body outcomeBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return Fate{}, err
	}
	f := Fate{Known: true, Outcome: body.Outcome, Code: body.Code}
	if f.Outcome == wire.OutcomeUnknown && f.Code != codeUnresolved {
		return f, errOpen
	}
	return f, nil
}
