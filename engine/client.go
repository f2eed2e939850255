package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/httpstrict"
	"peridotchute.example/common/wire"
)

// maxResponseBytes limits how much of a response body is read.
const maxResponseBytes = 64 << 20

// HTTPClient implements Client over an engine's HTTP API.
type HTTPClient struct {
	base string
	http *http.Client
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client of the engine at the base URL. Keep-alives
// are disabled because the transport repeats a request after a failure on a
// reused connection, and an order must be sent only once.
func NewHTTPClient(base string) *HTTPClient {
	transport := httpstrict.NewTransport(&http.Transport{DisableKeepAlives: true})
	return &HTTPClient{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: transport}}
}

// Order sends an order and waits until the engine has executed it.
func (c *HTTPClient) Order(ctx context.Context, o Order) error {
	path, body := encodeOrder(o)
	raw, err := json.Marshal(body)
	if err != nil {
		return fault.New(fault.KindInvalid, "engine.order", c.base, err)
	}
	_, err = c.do(ctx, "engine.order", http.MethodPost, path, raw)
	return err
}

func encodeOrder(o Order) (string, OrderBody) {
	body := OrderBody{Base: o.Base, Bytes: o.Bytes, Role: o.Role, FencingToken: o.FencingToken}
	if o.TTL > 0 {
		body.ExpiresAtMS = time.Now().Add(o.TTL).UnixMilli()
	}
	if o.Verb == VerbRole {
		return PathRole, body
	}
	if o.Artifact.Kind == wire.KindModel {
		body.ModelName, body.ModelPath = o.Artifact.Name, o.Artifact.String()
		return choosePath(o.Verb, PathLoadModel, PathUnloadModel), body
	}
	body.AdapterName, body.AdapterPath = o.Artifact.Name, o.Artifact.String()
	return choosePath(o.Verb, PathLoadAdapter, PathUnloadAdapter), body
}

func choosePath(v Verb, load, unload string) string {
	if v == VerbLoad {
		return load
	}
	return unload
}

// Inventory returns the artifacts, memory use and role of the engine.
func (c *HTTPClient) Inventory(ctx context.Context) (Inventory, error) {
	var inv Inventory
	err := c.getJSON(ctx, "engine.inventory", PathInventory, &inv)
	return inv, err
}

// CacheEvents returns the cache events with sequence numbers above after.
func (c *HTTPClient) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var list CacheEventList
	path := PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	err := c.getJSON(ctx, "engine.cache-events", path, &list)
	return list.Events, err
}

// ExportKV returns the cached KV blocks up to and including prefix.
func (c *HTTPClient) ExportKV(ctx context.Context, prefix uint64) ([]byte, error) {
	return c.do(ctx, "engine.export-kv", http.MethodGet, kvPath(prefix), nil)
}

// ImportKV adds blocks exported by another engine to the KV cache.
func (c *HTTPClient) ImportKV(ctx context.Context, prefix uint64, data []byte) error {
	_, err := c.do(ctx, "engine.import-kv", http.MethodPut, kvPath(prefix), data)
	return err
}

func kvPath(prefix uint64) string { return PathKV + strconv.FormatUint(prefix, 10) }

// Load returns the load that the engine reports in its metrics.
func (c *HTTPClient) Load(ctx context.Context) (Load, error) {
	raw, err := c.do(ctx, "engine.load", http.MethodGet, PathMetrics, nil)
	if err != nil {
		return Load{}, err
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(raw))
	if err != nil {
		return Load{}, fault.New(fault.KindInternal, "engine.load", c.base, err)
	}
	return Load{
		Running: int(sumGauges(families[MetricRunning])),
		Waiting: int(sumGauges(families[MetricWaiting])),
		KVUsed:  sumGauges(families[MetricKVUsed]),
	}, nil
}

// sumGauges sums the samples of a family; engines report one sample per model.
func sumGauges(f *dto.MetricFamily) float64 {
	var sum float64
	for _, m := range f.GetMetric() {
		sum += m.GetGauge().GetValue()
	}
	return sum
}

func (c *HTTPClient) getJSON(ctx context.Context, step, path string, into any) error {
	raw, err := c.do(ctx, step, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fault.New(fault.KindInternal, step, c.base, err)
	}
	return nil
}

func (c *HTTPClient) do(ctx context.Context, step, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.New(fault.KindInvalid, step, c.base, err)
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fault.New(fault.KindOfNetworkError(err), step, c.base, err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, fault.New(fault.KindUnknown, step, c.base, err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, fault.New(kindForStatus(resp.StatusCode), step, c.base, statusError(resp.StatusCode, raw))
	}
	return raw, nil
}

// kindForStatus returns the error kind of an HTTP status. Server errors are
// KindUnknown, because the order may have taken effect.
func kindForStatus(status int) fault.Kind {
	switch {
	case status == http.StatusNotFound:
		return fault.KindNotFound
	case status == http.StatusConflict, status == http.StatusGone:
		return fault.KindRefused
	case status < http.StatusInternalServerError:
		return fault.KindInvalid
	}
	return fault.KindUnknown
}

func statusError(status int, raw []byte) error {
	var body wire.ErrorBody
	if err := json.Unmarshal(raw, &body); err == nil && body.Error.Message != "" {
		return fmt.Errorf("status %d: %s", status, body.Error.Message)
	}
	return fmt.Errorf("status %d", status)
}
