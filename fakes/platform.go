package fakes

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"emberlead/proto"
)

const (
	weightsPerSecond = 20
	weightBurst      = 5
	maxBodyBytes     = 8 << 20
	// HeaderClient identifies the caller to the fake platform, so that a test can make the store unreachable for one client.
	HeaderClient = "Emberlead-Client"
)

// Platform serves a Store over HTTP, together with a rate-limited weight store and an endpoint for fault injection.
type Platform struct {
	store         *Store
	weightLimiter *rate.Limiter
}

// NewPlatform returns a Platform that serves store.
func NewPlatform(store *Store) *Platform {
	return &Platform{store: store, weightLimiter: rate.NewLimiter(weightsPerSecond, weightBurst)}
}

// Handler returns the platform's HTTP routes.
func (p *Platform) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET(proto.PathRows, p.serveRows)
	e.POST(proto.PathTransact, p.serveTransact)
	e.PUT(proto.PathObjects+"/:hash", p.servePutObject)
	e.GET(proto.PathObjects+"/:hash", p.serveGetObject)
	e.GET(proto.PathVMs, p.serveVMs)
	e.PUT(proto.PathVMs, p.serveSetVM)
	e.DELETE(proto.PathVMs+"/:vm", p.serveRemoveVM)
	e.GET(proto.PathWeights+"/:model", p.serveWeight)
	e.POST("/fault", p.serveFault)
	return e
}

func (p *Platform) client(c echo.Context) *Client {
	return p.store.ClientFor(c.Request().Header.Get(HeaderClient))
}

// dropConnection closes the connection without a response, which the client sees as a lost response.
func dropConnection(c echo.Context) error {
	conn, _, err := http.NewResponseController(c.Response()).Hijack()
	if err != nil {
		return err
	}
	return conn.Close()
}

func (p *Platform) respond(c echo.Context, value any, err error) error {
	switch proto.KindOf(err) {
	case "":
		return c.JSON(http.StatusOK, value)
	case proto.KindConflict:
		return c.String(http.StatusConflict, err.Error())
	case proto.KindNotFound:
		return c.String(http.StatusNotFound, err.Error())
	case proto.KindUnknown:
		return dropConnection(c)
	}
	return c.String(http.StatusServiceUnavailable, err.Error())
}

func (p *Platform) serveRows(c echo.Context) error {
	if key := c.QueryParam("key"); key != "" {
		row, err := p.client(c).Read(c.Request().Context(), key)
		return p.respond(c, row, err)
	}
	limit, err := strconv.Atoi(c.QueryParam("limit"))
	if err != nil || limit < 1 {
		return c.String(http.StatusBadRequest, "limit must be a positive number")
	}
	list, listErr := p.client(c).List(c.Request().Context(), c.QueryParam("prefix"), c.QueryParam("after"), limit)
	return p.respond(c, list, listErr)
}

func (p *Platform) serveTransact(c echo.Context) error {
	var tx proto.Transaction
	if err := json.NewDecoder(io.LimitReader(c.Request().Body, maxBodyBytes)).Decode(&tx); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	return p.respond(c, struct{}{}, p.client(c).Transact(c.Request().Context(), tx))
}

func (p *Platform) servePutObject(c echo.Context) error {
	data, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBodyBytes))
	if err != nil {
		return err
	}
	return p.respond(c, struct{}{}, p.client(c).Put(c.Request().Context(), c.Param("hash"), data))
}

func (p *Platform) serveGetObject(c echo.Context) error {
	data, err := p.client(c).Get(c.Request().Context(), c.Param("hash"))
	if err != nil {
		return p.respond(c, nil, err)
	}
	return c.Blob(http.StatusOK, "application/octet-stream", data)
}

func (p *Platform) serveVMs(c echo.Context) error {
	list, err := p.client(c).VMs(c.Request().Context())
	return p.respond(c, list, err)
}

func (p *Platform) serveSetVM(c echo.Context) error {
	var entry proto.VMEntry
	if err := c.Bind(&entry); err != nil {
		return err
	}
	p.store.SetVM(entry)
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) serveRemoveVM(c echo.Context) error {
	p.store.RemoveVM(proto.VM(c.Param("vm")))
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) serveWeight(c echo.Context) error {
	if !p.weightLimiter.Allow() {
		c.Response().Header().Set("Retry-After", "1")
		return c.String(http.StatusTooManyRequests, "the weight store's rate is spent")
	}
	return c.JSON(http.StatusOK, map[string]string{"model": c.Param("model")})
}

// PlatformFault is a request to change the injected faults of the platform.
type PlatformFault struct {
	Down        *bool           `json:"down,omitempty"`
	LoseAnswers int             `json:"loseAnswers,omitempty"`
	DownFor     *proto.Duration `json:"downFor,omitempty"`
}

func (p *Platform) serveFault(c echo.Context) error {
	var f PlatformFault
	if err := c.Bind(&f); err != nil {
		return err
	}
	if f.Down != nil {
		p.store.SetDown(*f.Down)
	}
	if f.LoseAnswers > 0 {
		p.store.LoseResponses(f.LoseAnswers)
	}
	if f.DownFor != nil {
		p.store.SetDown(true)
		time.AfterFunc(f.DownFor.Std(), func() { p.store.SetDown(false) })
	}
	return c.NoContent(http.StatusNoContent)
}
