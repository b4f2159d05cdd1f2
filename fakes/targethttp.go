package fakes

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"emberlead/proto"
)

// loadLag is the age beyond which a target replaces the load that it reports.
const loadLag = 200 * time.Millisecond

// Handler returns the target's HTTP routes.
func (t *Target) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.POST(proto.PathRun, t.serveRun)
	e.POST(proto.PathCancel, t.serveCancel)
	e.GET(proto.PathLoad, t.serveLoad)
	e.GET(proto.PathCacheEvents, t.serveCacheEvents)
	e.POST(proto.PathOrders, t.serveOrder)
	e.POST(proto.PathExport, t.serveExport)
	e.GET("/runs", func(c echo.Context) error { return c.JSON(http.StatusOK, t.Runs()) })
	e.POST("/fault", t.serveFault)
	return e
}

func respondRefused(c echo.Context, reason string) error {
	return c.JSON(http.StatusServiceUnavailable, proto.RunRefusal{Outcome: proto.OutcomeNotRun, Reason: reason})
}

func (t *Target) serveRun(c echo.Context) error {
	var req proto.RunRequest
	if err := json.NewDecoder(io.LimitReader(c.Request().Body, maxBodyBytes)).Decode(&req); err != nil {
		return c.JSON(http.StatusBadRequest, proto.RunRefusal{Outcome: proto.OutcomeNotRun, Reason: err.Error()})
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), req.Deadline)
	defer cancel()
	t.track(req.Attempt, cancel)
	defer t.untrack(req.Attempt)
	if !t.admit(ctx, req.Priority) {
		return respondRefused(c, "too many requests wait")
	}
	defer t.release()
	fail, hang := t.drawFault()
	if hang {
		<-ctx.Done()
		return dropConnection(c)
	}
	if fail {
		return c.JSON(http.StatusInternalServerError, proto.RunRefusal{Outcome: proto.OutcomeRan, Reason: "failed on purpose"})
	}
	if req.Stream {
		return t.serveStream(ctx, c, &req)
	}
	answer, ok := t.run(ctx, &req, nil)
	if !ok {
		return dropConnection(c)
	}
	load := t.Load(time.Now())
	answer.Load = &load
	return c.JSON(http.StatusOK, answer)
}

func (t *Target) serveStream(ctx context.Context, c echo.Context, req *proto.RunRequest) error {
	w := c.Response()
	w.Header().Set(echo.HeaderContentType, "text/event-stream")
	w.WriteHeader(http.StatusOK)
	emit := func(chunk proto.RunChunk) bool {
		return writeEvent(w, "chunk", chunk) == nil
	}
	answer, ok := t.run(ctx, req, emit)
	if !ok {
		return dropConnection(c)
	}
	load := t.Load(time.Now())
	answer.Load = &load
	return writeEvent(w, "done", answer)
}

func writeEvent(w *echo.Response, name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if _, err = io.WriteString(w, "event: "+name+"\ndata: "+string(data)+"\n\n"); err != nil {
		return err
	}
	w.Flush()
	return nil
}

func (t *Target) track(attempt string, cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancels[attempt] = cancel
}

func (t *Target) untrack(attempt string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.cancels, attempt)
}

func (t *Target) serveCancel(c echo.Context) error {
	attempt := c.QueryParam("attempt")
	t.mu.Lock()
	cancel := t.cancels[attempt]
	t.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	return c.NoContent(http.StatusNoContent)
}

// serveLoad responds with a load recorded earlier, since real targets report with a delay.
func (t *Target) serveLoad(c echo.Context) error {
	now := time.Now()
	t.mu.Lock()
	reported := t.reportedLoad
	t.mu.Unlock()
	if now.Sub(reported.At) > loadLag {
		current := t.Load(now)
		t.mu.Lock()
		t.reportedLoad = current
		t.mu.Unlock()
		if reported.At.IsZero() {
			reported = current
		}
	}
	return c.JSON(http.StatusOK, reported)
}

func (t *Target) serveCacheEvents(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		after = 0
	}
	return c.JSON(http.StatusOK, t.CacheEvents(after))
}

func (t *Target) serveExport(c echo.Context) error {
	attempt := c.QueryParam("attempt")
	t.mu.Lock()
	_, running := t.cancels[attempt]
	t.mu.Unlock()
	if !t.spec.ExportsCache || !running {
		return c.String(http.StatusNotFound, "nothing to export")
	}
	return c.JSON(http.StatusOK, proto.ExportAnswer{Handle: t.spec.Name + "/" + attempt})
}

// ApplyOrder executes an order. A target that checks orders rejects an epoch lower than the highest one seen for the lease.
func (t *Target) ApplyOrder(order proto.Order) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.spec.ChecksOrders && order.Epoch < t.epochs[order.Lease] {
		return false
	}
	t.epochs[order.Lease] = max(order.Epoch, t.epochs[order.Lease])
	t.models = order.Models
	t.role = order.Role
	return true
}

func (t *Target) serveOrder(c echo.Context) error {
	var order proto.Order
	if err := c.Bind(&order); err != nil {
		return err
	}
	if !t.ApplyOrder(order) {
		return c.String(http.StatusConflict, "the epoch is older than one seen")
	}
	return c.NoContent(http.StatusNoContent)
}

func (t *Target) serveFault(c echo.Context) error {
	var f TargetFault
	if err := c.Bind(&f); err != nil {
		return err
	}
	t.SetFault(f)
	return c.NoContent(http.StatusNoContent)
}
