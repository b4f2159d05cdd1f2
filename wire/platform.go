package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/time/rate"

	"emberlead/proto"
)

// PlatformLimits bounds what one daemon requests from the platform.
type PlatformLimits struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	Burst           int
	CallTimeout     time.Duration // upper bound for one call, including retries
}

// DefaultPlatformLimits returns limits that keep eight daemons far below the platform's own limits.
func DefaultPlatformLimits() PlatformLimits {
	return PlatformLimits{ReadsPerSecond: 20, WritesPerSecond: 5, Burst: 20, CallTimeout: 2 * time.Second}
}

// PlatformClient is a client of the platform's table service, object store and VM list.
type PlatformClient struct {
	baseURL    string
	clientName string
	client     *http.Client
	limits     PlatformLimits
	reads      *rate.Limiter
	writes     *rate.Limiter
	readCount  atomic.Int64
	writeCount atomic.Int64
}

// NewPlatformClient returns a client; clientName identifies the daemon to the platform.
func NewPlatformClient(baseURL, clientName string, limits PlatformLimits) *PlatformClient {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = maxHeadBytes
	return &PlatformClient{
		baseURL:    baseURL,
		clientName: clientName,
		client:     NewAnswerClient(transport),
		limits:     limits,
		reads:      rate.NewLimiter(rate.Limit(limits.ReadsPerSecond), limits.Burst),
		writes:     rate.NewLimiter(rate.Limit(limits.WritesPerSecond), limits.Burst),
	}
}

// Counts returns the reads and writes sent so far.
func (p *PlatformClient) Counts() (reads, writes int64) {
	return p.readCount.Load(), p.writeCount.Load()
}

type platformCall struct {
	op     string
	method string
	path   string
	query  url.Values
	body   []byte
	write  bool
}

// do sends a call. Reads, and writes that were certainly not sent, are retried with jitter until the time is up.
func (p *PlatformClient) do(ctx context.Context, call platformCall) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, p.limits.CallTimeout)
	defer cancel()
	ctx, s := startSpan(ctx, "platform", trace.SpanKindClient, attribute.String("emberlead.op", call.op))
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = 50 * time.Millisecond
	policy.MaxInterval = 500 * time.Millisecond
	var lastErr error
	data, err := backoff.Retry(ctx, func() ([]byte, error) {
		data, err := p.attempt(ctx, call)
		if err != nil {
			lastErr = err
		}
		if err != nil && proto.KindOf(err) != proto.KindUnavailable {
			return nil, backoff.Permanent(err)
		}
		return data, err
	}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(p.limits.CallTimeout))
	if err != nil && lastErr != nil {
		err = lastErr
	}
	if err != nil && proto.KindOf(err) == "" {
		err = &Error{Op: call.op, Kind: proto.KindUnavailable, Err: err}
	}
	endSpan(s, err)
	return data, err
}

func (p *PlatformClient) attempt(ctx context.Context, call platformCall) ([]byte, error) {
	limiter, counter := p.reads, &p.readCount
	if call.write {
		limiter, counter = p.writes, &p.writeCount
	}
	if err := limiter.Wait(ctx); err != nil {
		return nil, &Error{Op: call.op, Kind: proto.KindUnavailable, Err: err}
	}
	counter.Add(1)
	sent := false
	traceCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }})
	u := p.baseURL + call.path
	if len(call.query) > 0 {
		u += "?" + call.query.Encode()
	}
	req, err := http.NewRequestWithContext(traceCtx, call.method, u, bytes.NewReader(call.body))
	if err != nil {
		return nil, &Error{Op: call.op, Kind: proto.KindInvalid, Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Emberlead-Client", p.clientName)
	injectTrace(ctx, req.Header)
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, &Error{Op: call.op, Kind: failedCallKind(call.write && sent), Err: err}
	}
	defer resp.Body.Close()
	data, err := readAnswer(resp.Body, maxResponseSize)
	if err != nil {
		return nil, &Error{Op: call.op, Kind: failedCallKind(call.write), Err: err}
	}
	return data, statusError(call.op, resp.StatusCode, data)
}

// failedCallKind distinguishes a write that may have taken effect from a call that can be repeated.
func failedCallKind(maybeWritten bool) proto.Kind {
	if maybeWritten {
		return proto.KindUnknown
	}
	return proto.KindUnavailable
}

func statusError(op string, status int, data []byte) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusConflict:
		return newError(op, proto.KindConflict, "%s", data)
	case status == http.StatusNotFound:
		return newError(op, proto.KindNotFound, "%s", data)
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return newError(op, proto.KindUnavailable, "%s", data)
	case status >= http.StatusInternalServerError:
		return newError(op, proto.KindUnknown, "%s", data)
	}
	return newError(op, proto.KindInvalid, "status %d: %s", status, data)
}

func decode[T any](op string, data []byte, err error) (T, error) {
	var value T
	if err != nil {
		return value, err
	}
	if err := json.Unmarshal(data, &value); err != nil {
		return value, &Error{Op: op, Kind: proto.KindInvalid, Err: err}
	}
	return value, nil
}

// Read returns a row; a row that does not exist has version 0. It fails with KindUnavailable.
func (p *PlatformClient) Read(ctx context.Context, key string) (proto.Row, error) {
	data, err := p.do(ctx, platformCall{op: "read row", method: http.MethodGet, path: proto.PathRows, query: url.Values{"key": {key}}})
	return decode[proto.Row]("read row", data, err)
}

// List returns a page of rows in key order. It fails with KindUnavailable.
func (p *PlatformClient) List(ctx context.Context, prefix, after string, limit int) (proto.RowList, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	data, err := p.do(ctx, platformCall{op: "list rows", method: http.MethodGet, path: proto.PathRows, query: query})
	return decode[proto.RowList]("list rows", data, err)
}

// Transact executes a transaction; it fails with KindConflict, KindUnavailable, or KindUnknown if the answer was lost.
func (p *PlatformClient) Transact(ctx context.Context, tx proto.Transaction) error {
	body, err := json.Marshal(tx)
	if err != nil {
		return &Error{Op: "transact", Kind: proto.KindInvalid, Err: err}
	}
	_, err = p.do(ctx, platformCall{op: "transact", method: http.MethodPost, path: proto.PathTransact, body: body, write: true})
	return err
}

// Put stores an object under its hash; storing it twice is harmless, so it is retried if the answer was lost.
func (p *PlatformClient) Put(ctx context.Context, hash string, data []byte) error {
	_, err := p.do(ctx, platformCall{op: "put object", method: http.MethodPut, path: proto.PathObjects + "/" + hash, body: data, write: true})
	if proto.KindOf(err) == proto.KindUnknown {
		_, err = p.do(ctx, platformCall{op: "put object", method: http.MethodPut, path: proto.PathObjects + "/" + hash, body: data, write: true})
	}
	return err
}

// Get returns the object with the hash; it fails with KindNotFound or KindUnavailable.
func (p *PlatformClient) Get(ctx context.Context, hash string) ([]byte, error) {
	return p.do(ctx, platformCall{op: "get object", method: http.MethodGet, path: proto.PathObjects + "/" + hash})
}

// VMs returns the platform's VM list, which lags behind. It fails with KindUnavailable.
func (p *PlatformClient) VMs(ctx context.Context) (proto.VMList, error) {
	data, err := p.do(ctx, platformCall{op: "list vms", method: http.MethodGet, path: proto.PathVMs})
	return decode[proto.VMList]("list vms", data, err)
}
