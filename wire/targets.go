package wire

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"emberlead/core"
	"emberlead/proto"
	"emberlead/state"
)

const (
	dialTimeout          = 2 * time.Second
	maxIdlePerTarget     = 32
	idleTimeout          = 30 * time.Second
	maxResponseSize      = 8 << 20
	maxEventLine         = 1 << 20
	controlTimeout       = 2 * time.Second
	attemptDeadlineSlack = 50 * time.Millisecond
)

// TargetClient runs attempts at targets over HTTP.
type TargetClient struct {
	pooled   *http.Client
	fresh    *http.Client
	lifetime context.Context
	abort    context.CancelFunc
	clock    clockwork.Clock
}

// TargetClientOption configures a TargetClient.
type TargetClientOption func(*TargetClient)

// WithTargetClock sets the clock by which the deadlines of attempts are given.
func WithTargetClock(clock clockwork.Clock) TargetClientOption {
	return func(t *TargetClient) { t.clock = clock }
}

// NewTargetClient returns a client of targets.
func NewTargetClient(options ...TargetClientOption) *TargetClient {
	t := &TargetClient{pooled: newTargetHTTPClient(false), fresh: newTargetHTTPClient(true), clock: clockwork.NewRealClock()}
	for _, option := range options {
		option(t)
	}
	t.lifetime, t.abort = context.WithCancel(context.Background())
	return t
}

// Abort closes all connections to targets, as the end of the process would.
func (t *TargetClient) Abort() { t.abort() }

func newTargetHTTPClient(fresh bool) *http.Client {
	client := NewAnswerClient(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdlePerTarget,
		MaxResponseHeaderBytes: maxHeadBytes,
		IdleConnTimeout:        idleTimeout,
		DisableKeepAlives:      fresh,
		DisableCompression:     true,
	})
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return client
}

// writeDetector detects whether any byte of a request was written to a connection, since it certainly did not run only if none was.
type writeDetector struct {
	conn          atomic.Pointer[checkedConn]
	writtenBefore atomic.Int64
}

func (w *writeDetector) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*checkedConn); ok {
			w.writtenBefore.Store(conn.written.Load())
			w.conn.Store(conn)
		}
	}})
}

func (w *writeDetector) sent() bool {
	conn := w.conn.Load()
	return conn != nil && conn.written.Load() > w.writtenBefore.Load()
}

// Run executes an attempt and passes its chunks and its end to emit; the end is the last event.
func (t *TargetClient) Run(ctx context.Context, start *core.Start, mayRepeat bool, emit func(core.Event)) {
	ctx, s := startSpan(ctx, "attempt", trace.SpanKindClient,
		attribute.String("emberlead.stage", start.Stage.Name),
		attribute.String("emberlead.target", start.Target.Name),
		attribute.Int("emberlead.attempt", start.ID.Number))
	ended := t.run(ctx, start, mayRepeat, emit)
	ended.Attempt = start.ID
	var spanErr error
	if ended.Status != core.StatusDone {
		spanErr = newError("run", proto.KindUnknown, "%s", ended.Reason)
	}
	endSpan(s, spanErr)
	emit(ended)
}

func (t *TargetClient) run(ctx context.Context, start *core.Start, mayRepeat bool, emit func(core.Event)) core.AttemptEnded {
	// The deadline is a time of the daemon's clock. Contexts would compare it with the wall clock, which may be set meanwhile.
	left := start.Deadline.Sub(t.clock.Now())
	ctx, cancel := context.WithTimeout(ctx, left+attemptDeadlineSlack)
	defer cancel()
	defer context.AfterFunc(t.lifetime, cancel)()
	detector := &writeDetector{}
	req, err := newRunRequest(detector.withTrace(ctx), start, state.WallTime(t.clock).Add(left))
	if err != nil {
		return core.AttemptEnded{Status: core.StatusNotStarted, Reason: err.Error()}
	}
	// A reused connection may have been closed unnoticed, and it is then unknown whether a written request ran.
	client := t.pooled
	if !mayRepeat {
		client = t.fresh
	}
	resp, err := client.Do(req)
	if err != nil {
		status := core.StatusUnknown
		if !detector.sent() {
			status = core.StatusNotStarted
		}
		return core.AttemptEnded{Status: status, Reason: err.Error()}
	}
	defer resp.Body.Close()
	return t.readResponse(resp, start, emit)
}

// newRunRequest returns the request of an attempt with its deadline as a wall clock time, by which targets read it.
func newRunRequest(ctx context.Context, start *core.Start, deadline time.Time) (*http.Request, error) {
	body, err := json.Marshal(proto.RunRequest{
		Attempt: start.ID.String(), Workspace: start.Workspace, Service: start.Service, Stage: start.Stage.Name,
		Model: start.Stage.Model, Input: start.Input, Prefix: start.Prefix, Priority: start.Priority,
		Deadline: deadline, Stream: start.Stream, MaxTokens: start.Stage.MaxTokens,
		Offset: start.Offset, Delivered: encodeDelivered(start.Delivered), CacheHandle: start.CacheHandle,
	})
	if err != nil {
		return nil, &Error{Op: "encode attempt", Kind: proto.KindInvalid, Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, targetURL(start.Target.Address, proto.PathRun), bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Op: "encode attempt", Kind: proto.KindInvalid, Err: err}
	}
	// Without GetBody the transport cannot resend the body on its own.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(proto.HeaderAttempt, start.ID.String())
	injectTrace(ctx, req.Header)
	return req, nil
}

func encodeDelivered(text string) json.RawMessage {
	if text == "" {
		return nil
	}
	data, err := json.Marshal(text)
	if err != nil {
		return nil
	}
	return data
}

func targetURL(address netip.AddrPort, path string) string {
	return (&url.URL{Scheme: "http", Host: address.String(), Path: path}).String()
}

func (t *TargetClient) readResponse(resp *http.Response, start *core.Start, emit func(core.Event)) core.AttemptEnded {
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(resp.Body, start, emit)
	}
	var answer proto.RunAnswer
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseSize)).Decode(&answer); err != nil {
		return core.AttemptEnded{Status: core.StatusUnknown, Reason: err.Error()}
	}
	return attemptDone(&answer, start, emit)
}

// readRefusal trusts a target that states that the request did not start; after any other error it may have run.
func readRefusal(resp *http.Response) core.AttemptEnded {
	var refusal proto.RunRefusal
	err := json.NewDecoder(io.LimitReader(resp.Body, maxEventLine)).Decode(&refusal)
	reason := resp.Status + " " + refusal.Reason
	switch {
	case err == nil && refusal.Outcome == proto.OutcomeNotRun:
		return core.AttemptEnded{Status: core.StatusNotStarted, Reason: reason}
	case err == nil && refusal.Outcome == proto.OutcomeRan:
		return core.AttemptEnded{Status: core.StatusFailed, Reason: reason}
	}
	return core.AttemptEnded{Status: core.StatusUnknown, Reason: reason}
}

func attemptDone(answer *proto.RunAnswer, start *core.Start, emit func(core.Event)) core.AttemptEnded {
	if answer.Attempt != start.ID.String() {
		return core.AttemptEnded{Status: core.StatusUnknown, Reason: "the answer is to attempt " + answer.Attempt}
	}
	if answer.Load != nil {
		emit(core.LoadReported{Pool: start.Pool, Load: *answer.Load})
	}
	return core.AttemptEnded{
		Status: core.StatusDone, Output: answer.Output, Tokens: answer.Tokens,
		Busy: answer.Busy.Std(), CacheHit: answer.CacheHit,
	}
}

func readStream(body io.Reader, start *core.Start, emit func(core.Event)) core.AttemptEnded {
	events := newEventReader(body)
	for {
		name, data, err := events.next()
		if err != nil {
			return core.AttemptEnded{Status: core.StatusUnknown, Reason: "the stream broke off: " + err.Error()}
		}
		if name == "done" {
			var answer proto.RunAnswer
			if err := json.Unmarshal(data, &answer); err != nil {
				return core.AttemptEnded{Status: core.StatusUnknown, Reason: err.Error()}
			}
			return attemptDone(&answer, start, emit)
		}
		var chunk proto.RunChunk
		if err := json.Unmarshal(data, &chunk); err != nil || chunk.Attempt != start.ID.String() {
			return core.AttemptEnded{Status: core.StatusUnknown, Reason: "the stream holds a chunk that is not of this attempt"}
		}
		emit(core.AttemptChunk{Attempt: start.ID, Offset: chunk.Offset, Text: chunk.Text, Tokens: chunk.Tokens})
	}
}

// eventReader reads server-sent events.
type eventReader struct{ scanner *bufio.Scanner }

func newEventReader(body io.Reader) *eventReader {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventLine)
	return &eventReader{scanner: scanner}
}

func (r *eventReader) next() (name string, data []byte, err error) {
	read := 0
	for r.scanner.Scan() {
		line := r.scanner.Text()
		switch {
		case line == "" && data != nil:
			return name, data, nil
		case strings.HasPrefix(line, "event: "):
			name = line[len("event: "):]
		case strings.HasPrefix(line, "data: "):
			data = append(data, line[len("data: "):]...)
		}
		if read += len(line) + 1; read > maxEventLine {
			return "", nil, newError("read stream", proto.KindTooLarge, "no event within %d bytes", maxEventLine)
		}
	}
	if err := r.scanner.Err(); err != nil {
		return "", nil, err
	}
	return "", nil, io.ErrUnexpectedEOF
}

// Cancel tells a target that an attempt is no longer wanted. A failure does not matter, since the answer of the attempt
// is discarded anyway.
func (t *TargetClient) Cancel(ctx context.Context, address netip.AddrPort, attempt proto.AttemptID) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	u := targetURL(address, proto.PathCancel) + "?attempt=" + url.QueryEscape(attempt.String())
	_, _ = t.sendControl(ctx, http.MethodPost, u, nil)
}

// Load reads a target's load report; it fails with KindUnavailable.
func (t *TargetClient) Load(ctx context.Context, address netip.AddrPort) (proto.Load, error) {
	var load proto.Load
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	data, err := t.sendControl(ctx, http.MethodGet, targetURL(address, proto.PathLoad), nil)
	if err != nil {
		return load, err
	}
	if err := json.Unmarshal(data, &load); err != nil {
		return load, &Error{Op: "read load", Kind: proto.KindInvalid, Err: err}
	}
	return load, nil
}

// CacheEvents reads a target's cache events after a sequence number; it fails with KindUnavailable.
func (t *TargetClient) CacheEvents(ctx context.Context, address netip.AddrPort, after uint64) ([]proto.CacheEvent, error) {
	var events []proto.CacheEvent
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	data, err := t.sendControl(ctx, http.MethodGet, targetURL(address, proto.PathCacheEvents)+"?after="+strconv.FormatUint(after, 10), nil)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(data, &events); err != nil {
		return nil, &Error{Op: "read cache events", Kind: proto.KindInvalid, Err: err}
	}
	return events, nil
}

// Export asks a target to export the KV cache of an attempt and returns its handle; it fails with KindUnavailable.
func (t *TargetClient) Export(ctx context.Context, address netip.AddrPort, attempt proto.AttemptID) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	data, err := t.sendControl(ctx, http.MethodPost, targetURL(address, proto.PathExport)+"?attempt="+url.QueryEscape(attempt.String()), nil)
	if err != nil {
		return "", err
	}
	var answer proto.ExportAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return "", &Error{Op: "export", Kind: proto.KindInvalid, Err: err}
	}
	return answer.Handle, nil
}

// Order sends a fenced order; it fails with KindDenied if the target has seen a newer epoch.
func (t *TargetClient) Order(ctx context.Context, address netip.AddrPort, order proto.Order) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return &Error{Op: "encode order", Kind: proto.KindInvalid, Err: err}
	}
	_, err = t.sendControl(ctx, http.MethodPost, targetURL(address, proto.PathOrders), body)
	return err
}

// SendRequest sends a request outside the protocol of the targets, as manual trials do; it fails with KindUnavailable.
func (t *TargetClient) SendRequest(ctx context.Context, method string, address netip.AddrPort, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return t.sendControl(ctx, method, targetURL(address, path), body)
}

func (t *TargetClient) sendControl(ctx context.Context, method, u string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Op: "control", Kind: proto.KindInvalid, Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	injectTrace(ctx, req.Header)
	resp, err := t.pooled.Do(req)
	if err != nil {
		return nil, &Error{Op: "control", Kind: proto.KindUnavailable, Err: err}
	}
	defer resp.Body.Close()
	data, err := readAnswer(resp.Body, maxResponseSize)
	if err != nil {
		return nil, &Error{Op: "control", Kind: proto.KindUnavailable, Err: err}
	}
	if resp.StatusCode == http.StatusConflict {
		return nil, newError("control", proto.KindDenied, "%s", bytes.TrimSpace(data))
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, newError("control", proto.KindUnavailable, "%s", resp.Status)
	}
	return data, nil
}
