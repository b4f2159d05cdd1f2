package wire

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"emberlead/core"
	"emberlead/proto"
)

const (
	pathRequests = "/v1/workspaces/:workspace/services/:service/requests"
	mimeProblem  = "application/problem+json"
	mimeEvents   = "text/event-stream"
	maxPrefixLen = 256
)

// FrontendLimits bounds the resources that callers can use.
type FrontendLimits struct {
	MaxBodyBytes     int64
	MaxOpenRequests  int64 // requests in progress
	MaxBufferedBytes int   // bytes buffered for one slow caller
	ReadTimeout      time.Duration
	// WriteTimeout is how long one write to a caller may take.
	WriteTimeout time.Duration
}

// ReadinessChecker reports whether a daemon accepts requests.
type ReadinessChecker interface {
	// Ready tells the platform's load balancer whether to send requests, and if not, why.
	Ready() (ok bool, reason string)
	// Accepts returns nil, or why a request that arrives anyway is refused.
	Accepts() *proto.Failure
}

// Frontend serves callers over HTTP.
type Frontend struct {
	driver       *Driver
	engine       *core.Engine
	clock        clockwork.Clock
	log          hclog.Logger
	limits       FrontendLimits
	readiness    ReadinessChecker
	openRequests atomic.Int64

	mu  sync.Mutex
	rng *rand.Rand
}

// NewFrontend returns the HTTP frontend of a daemon; seed makes its request identifiers differ from those of other daemons.
func NewFrontend(driver *Driver, engine *core.Engine, clock clockwork.Clock, log hclog.Logger, limits FrontendLimits, readiness ReadinessChecker, seed uint64) *Frontend {
	return &Frontend{
		driver: driver, engine: engine, clock: clock, log: log, limits: limits, readiness: readiness,
		rng: rand.New(rand.NewPCG(seed, uint64(clock.Now().UnixNano()))),
	}
}

// Handler returns the routes for callers and for the health checks of the platform's load balancer.
func (f *Frontend) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = f.httpError
	e.POST(pathRequests, f.handleRequest)
	e.GET("/livez", func(c echo.Context) error { return c.String(http.StatusOK, "live\n") })
	e.GET("/readyz", f.readyz)
	return e
}

func (f *Frontend) readyz(c echo.Context) error {
	if ok, reason := f.readiness.Ready(); !ok {
		return c.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// OpenRequests returns the number of caller requests in progress.
func (f *Frontend) OpenRequests() int64 { return f.openRequests.Load() }

func (f *Frontend) httpError(err error, c echo.Context) {
	failure := &proto.Failure{Kind: proto.FailureBadRequest, Outcome: proto.OutcomeNotRun, Detail: err.Error()}
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) && (httpErr.Code == http.StatusNotFound || httpErr.Code == http.StatusMethodNotAllowed) {
		failure.Kind = proto.FailureNotFound
		failure.Detail = "no such path or method"
	}
	if !c.Response().Committed {
		_ = f.writeProblem(c, failure, "")
	}
}

func (f *Frontend) writeProblem(c echo.Context, failure *proto.Failure, id string) error {
	if failure.RetryAfter > 0 {
		c.Response().Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(failure.RetryAfter.Seconds()))))
	}
	c.Response().Header().Set(echo.HeaderContentType, mimeProblem)
	c.Response().WriteHeader(failure.Status())
	return json.NewEncoder(c.Response()).Encode(proto.NewProblem(failure, id))
}

func newRefusal(kind proto.FailureKind, detail string) *proto.Failure {
	return &proto.Failure{Kind: kind, Outcome: proto.OutcomeNotRun, Detail: detail}
}

func (f *Frontend) handleRequest(c echo.Context) error {
	if f.openRequests.Add(1) > f.limits.MaxOpenRequests {
		f.openRequests.Add(-1)
		failure := newRefusal(proto.FailureOverloaded, "too many requests are in progress")
		failure.RetryAfter = time.Second
		return f.writeProblem(c, failure, "")
	}
	defer f.openRequests.Add(-1)
	arrival, failure := f.readRequest(c)
	if failure != nil {
		return f.writeProblem(c, failure, "")
	}
	ctx, s := startSpan(extractTrace(c.Request().Context(), c.Request().Header), "request", trace.SpanKindServer,
		attribute.String("emberlead.request", arrival.ID.String()),
		attribute.String("emberlead.workspace", arrival.Workspace),
		attribute.String("emberlead.service", arrival.Service))
	defer s.End()
	c.Response().Header().Set(proto.HeaderRequestID, arrival.ID.String())
	buffer := f.driver.Submit(ctx, *arrival)
	failure = f.respond(c, buffer, arrival)
	if failure != nil {
		f.log.Info("request failed", "request", arrival.ID, "workspace", arrival.Workspace, "service", arrival.Service, "kind", failure.Kind, "outcome", failure.Outcome, "detail", failure.Detail)
	}
	return nil
}

// readRequest makes all checks of a request that are possible before it is run.
func (f *Frontend) readRequest(c echo.Context) (*core.Arrival, *proto.Failure) {
	workspace := c.Param("workspace")
	if !f.authorized(c.Request(), workspace) {
		return nil, newRefusal(proto.FailureUnauthorized, "the bearer key is not one of the workspace's")
	}
	if failure := f.readiness.Accepts(); failure != nil {
		return nil, failure
	}
	a := &core.Arrival{
		ID: f.newID(), Workspace: workspace, Service: c.Param("service"), Repeatable: true,
		Stream: strings.Contains(c.Request().Header.Get("Accept"), mimeEvents),
	}
	if failure := readHeaders(c.Request().Header, a); failure != nil {
		return nil, failure
	}
	if failure := f.readBody(c, a); failure != nil {
		return nil, failure
	}
	return a, nil
}

func (f *Frontend) newID() proto.RequestID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return core.NewRequestID(f.clock.Now(), f.rng)
}

// authorized looks the key up by its hash; the workspace is compared in constant time.
func (f *Frontend) authorized(r *http.Request, workspace string) bool {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return false
	}
	sum := sha256.Sum256([]byte(key))
	owner := f.engine.Snapshot().KeyOwners[hex.EncodeToString(sum[:])]
	return subtle.ConstantTimeCompare([]byte(owner), []byte(workspace)) == 1
}

func readHeaders(h http.Header, a *core.Arrival) *proto.Failure {
	if text := h.Get(proto.HeaderKey); text != "" {
		key, err := proto.ParseKey(text)
		if err != nil {
			return newRefusal(proto.FailureKeyInvalid, "Idempotency-Key must be a UUID of version 7, whose time tells new keys from old ones")
		}
		a.Key = key
	}
	if text := h.Get(proto.HeaderTimeout); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 {
			return newRefusal(proto.FailureBadRequest, "Emberlead-Timeout must be a positive duration such as 1.5s")
		}
		a.Timeout = timeout
	}
	switch h.Get(proto.HeaderRepeatable) {
	case "", "true":
	case "false":
		a.Repeatable = false
	default:
		return newRefusal(proto.FailureBadRequest, "Emberlead-Repeatable must be true or false")
	}
	return nil
}

func (f *Frontend) readBody(c echo.Context, a *core.Arrival) *proto.Failure {
	_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Now().Add(f.limits.ReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, f.limits.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return newRefusal(proto.FailureTooLarge, "the body is larger than "+strconv.FormatInt(f.limits.MaxBodyBytes, 10)+" bytes")
	}
	if err != nil {
		return newRefusal(proto.FailureBadRequest, "the body did not arrive in time or broke off")
	}
	_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Time{})
	if !json.Valid(body) {
		return newRefusal(proto.FailureBadRequest, "the body is not JSON")
	}
	a.Input = body
	a.Prefix = promptPrefix(body)
	return nil
}

// promptPrefix returns the name of the shared beginning of a prompt: the member prefix of the input, if there is one.
func promptPrefix(body []byte) string {
	var input struct {
		Prefix string `json:"prefix"`
	}
	if json.Unmarshal(body, &input) != nil {
		return ""
	}
	return input.Prefix[:min(len(input.Prefix), maxPrefixLen)]
}

// respond sends the caller the chunks and the result of its request. If the caller disconnects, it reports that to the
// engine and waits for the request to end.
func (f *Frontend) respond(c echo.Context, buffer *ResponseBuffer, a *core.Arrival) *proto.Failure {
	disconnected := c.Request().Context().Done()
	for {
		select {
		case <-buffer.Wake():
		case <-disconnected:
			f.driver.HandleEvent(core.CallerLeft{Request: a.ID})
			disconnected = nil
			continue
		}
		chunks, finish := buffer.Take()
		if err := f.writeChunks(c, chunks); err != nil {
			f.driver.HandleEvent(core.CallerLeft{Request: a.ID, Slow: true})
		}
		if finish == nil {
			continue
		}
		setGeneration(c, finish.Generation)
		f.writeFinish(c, a, finish)
		return finish.Failure
	}
}

// writeChunks writes all chunks that arrived since the last call, with a single flush.
func (f *Frontend) writeChunks(c echo.Context, chunks []core.Chunk) error {
	if len(chunks) == 0 {
		return nil
	}
	setGeneration(c, chunks[0].Generation)
	return f.writeBeforeDeadline(c, func() error {
		for _, chunk := range chunks {
			if err := writeEvent(c.Response(), "chunk", chunk.Offset, streamChunk{Offset: chunk.Offset, Text: chunk.Text, Tokens: chunk.Tokens}); err != nil {
				return err
			}
		}
		c.Response().Flush()
		return nil
	})
}

// setGeneration tells the caller the configuration generation that its request ran under; it has no effect once the header is sent.
func setGeneration(c echo.Context, g proto.Generation) {
	c.Response().Header().Set(proto.HeaderGeneration, strconv.FormatUint(uint64(g), 10))
}

// streamChunk is one event of a streamed response.
type streamChunk struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

func (f *Frontend) writeFinish(c echo.Context, a *core.Arrival, finish *core.Finish) {
	switch {
	case finish.Failure != nil && c.Response().Committed:
		_ = f.writeSingleEvent(c, "error", -1, proto.NewProblem(finish.Failure, a.ID.String()))
	case finish.Failure != nil:
		_ = f.writeProblem(c, finish.Failure, a.ID.String())
	case a.Stream:
		_ = f.writeSingleEvent(c, "done", -1, json.RawMessage(finish.Output))
	default:
		_ = f.writeBeforeDeadline(c, func() error { return c.JSONBlob(http.StatusOK, finish.Output) })
	}
}

func (f *Frontend) writeSingleEvent(c echo.Context, name string, id int, value any) error {
	return f.writeBeforeDeadline(c, func() error {
		defer c.Response().Flush()
		return writeEvent(c.Response(), name, id, value)
	})
}

// writeBeforeDeadline bounds how long a caller that does not read can block the handler.
func (f *Frontend) writeBeforeDeadline(c echo.Context, fn func() error) error {
	_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Now().Add(f.limits.WriteTimeout))
	return fn()
}

// writeEvent writes one server-sent event, and the response header before the first; the caller flushes.
func writeEvent(w *echo.Response, name string, id int, value any) error {
	if !w.Committed {
		w.Header().Set(echo.HeaderContentType, mimeEvents)
		w.Header().Set("Cache-Control", "no-store")
		w.WriteHeader(http.StatusOK)
	}
	data, err := json.Marshal(value)
	if err != nil {
		return &Error{Op: "write event", Kind: proto.KindInvalid, Err: err}
	}
	text := "event: " + name + "\n"
	if id >= 0 {
		text += "id: " + strconv.Itoa(id) + "\n"
	}
	if _, err := io.WriteString(w, text+"data: "+string(data)+"\n\n"); err != nil {
		return &Error{Op: "write event", Kind: proto.KindUnavailable, Err: err}
	}
	return nil
}

// WaitIdle waits until no caller request is in progress; it fails with KindUnavailable when the context ends.
func (f *Frontend) WaitIdle(ctx context.Context) error {
	ticker := f.clock.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for f.openRequests.Load() > 0 {
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return newError("wait", proto.KindUnavailable, "%d requests are still in progress", f.openRequests.Load())
		}
	}
	return nil
}
