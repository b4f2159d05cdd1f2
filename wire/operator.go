package wire

import (
	"context"
	"crypto/subtle"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"

	"emberlead/coord"
	"emberlead/core"
	"emberlead/proto"
)

// Paths of the operator API.
const (
	PathStatus = "/v1/status"
	PathConfig = "/v1/config"
	PathCheck  = "/v1/check"
	PathApply  = "/v1/apply"
	PathStops  = "/v1/stops"
	PathVars   = "/debug/vars"
)

// Status is what a daemon reports about itself to operators.
type Status struct {
	VM            proto.VM            `json:"vm"`
	Zone          proto.Zone          `json:"zone"`
	Version       string              `json:"version"`
	Ready         bool                `json:"ready"`
	Reason        string              `json:"reason,omitempty"`
	Generation    proto.Generation    `json:"generation"`
	OpenRequests  int64               `json:"openRequests"`
	LastStoreRead time.Time           `json:"storeSeen"`
	Daemons       []DaemonStatus      `json:"daemons"`
	Members       coord.MemberCounts  `json:"members"`
	Claims        coord.ReplicaCounts `json:"claims"`
	Links         LinkCounts          `json:"links"`
	Pools         []core.PoolStatus   `json:"pools"`
}

// DaemonStatus describes another daemon as seen by this one.
type DaemonStatus struct {
	VM       proto.VM   `json:"vm"`
	Zone     proto.Zone `json:"zone"`
	Peer     string     `json:"peer"`
	Stopping bool       `json:"stopping,omitempty"`
}

// FileStatus describes one accepted configuration file.
type FileStatus struct {
	Name       string           `json:"name"`
	Generation proto.Generation `json:"generation"`
	Hash       string           `json:"hash"`
	By         string           `json:"by"`
	At         time.Time        `json:"at"`
}

// ConfigStatus is the configuration in effect at a daemon.
type ConfigStatus struct {
	Generation proto.Generation `json:"generation"`
	Files      []FileStatus     `json:"files"`
	Stops      []proto.StopPlan `json:"stops"`
}

// OperatorError is the body of an error response to operators.
type OperatorError struct {
	Kind  proto.Kind `json:"kind"`
	Error string     `json:"error"`
}

// OperatorAPI serves operators over HTTP.
type OperatorAPI struct {
	node   *coord.Node
	key    string
	log    hclog.Logger
	status func() Status
}

// NewOperatorAPI returns the operator API of a daemon.
func NewOperatorAPI(node *coord.Node, key string, log hclog.Logger, status func() Status) *OperatorAPI {
	return &OperatorAPI{node: node, key: key, log: log, status: status}
}

// Handler returns the routes for operators.
func (o *OperatorAPI) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.Use(o.authenticate)
	e.GET(PathStatus, func(c echo.Context) error { return c.JSON(http.StatusOK, o.status()) })
	e.GET(PathConfig, o.config)
	e.POST(PathCheck, o.check)
	e.POST(PathApply, o.apply)
	e.GET(PathStops, o.config)
	e.POST(PathStops, o.planStop)
	e.GET(PathVars, echo.WrapHandler(expvar.Handler()))
	return e
}

func (o *OperatorAPI) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		header := c.Request().Header.Get("Authorization")
		if o.key != "" && subtle.ConstantTimeCompare([]byte(header), []byte("Bearer "+o.key)) != 1 {
			return c.JSON(http.StatusUnauthorized, OperatorError{Kind: proto.KindDenied, Error: "the operators' key is missing or wrong"})
		}
		return next(c)
	}
}

func (o *OperatorAPI) config(c echo.Context) error {
	snapshot := o.node.Config.Snapshot()
	s := ConfigStatus{Generation: snapshot.Generation, Files: []FileStatus{}, Stops: []proto.StopPlan{}}
	for _, change := range o.node.Config.Files() {
		s.Files = append(s.Files, FileStatus{Name: change.Name, Generation: change.Generation, Hash: change.Hash, By: change.By, At: change.At})
	}
	for _, plan := range snapshot.Stops {
		s.Stops = append(s.Stops, plan)
	}
	return c.JSON(http.StatusOK, s)
}

func readFileBody(c echo.Context) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, proto.MaxFileSize+1))
}

func (o *OperatorAPI) check(c echo.Context) error {
	body, err := readFileBody(c)
	if err != nil {
		return c.JSON(http.StatusBadRequest, OperatorError{Kind: proto.KindTooLarge, Error: err.Error()})
	}
	file, faults := proto.ReadFile(body)
	if len(faults) == 0 {
		faults = o.node.Config.Snapshot().CheckFile(file)
	}
	return c.JSON(http.StatusOK, coord.ApplyResult{Faults: faults})
}

func (o *OperatorAPI) apply(c echo.Context) error {
	body, err := readFileBody(c)
	if err != nil {
		return c.JSON(http.StatusBadRequest, OperatorError{Kind: proto.KindTooLarge, Error: err.Error()})
	}
	req := coord.ApplyRequest{Body: body, ApplyID: c.QueryParam("applyId"), By: c.QueryParam("by")}
	if text := c.QueryParam("base"); text != "" {
		base, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return c.JSON(http.StatusBadRequest, OperatorError{Kind: proto.KindInvalid, Error: "base is not a generation"})
		}
		generation := proto.Generation(base)
		req.Base = &generation
	}
	applied, err := o.node.ConfigStore.Apply(c.Request().Context(), o.node.Config, req)
	return o.writeResult(c, applied, err)
}

func (o *OperatorAPI) planStop(c echo.Context) error {
	var plan proto.StopPlan
	if err := c.Bind(&plan); err != nil || plan.VM == "" {
		return c.JSON(http.StatusBadRequest, OperatorError{Kind: proto.KindInvalid, Error: "a stop plan needs a VM"})
	}
	applied, err := o.node.ConfigStore.PlanStop(c.Request().Context(), o.node.Config, plan, c.QueryParam("by"))
	return o.writeResult(c, applied, err)
}

func (o *OperatorAPI) writeResult(c echo.Context, result coord.ApplyResult, err error) error {
	if err != nil {
		status := http.StatusServiceUnavailable
		if proto.KindOf(err) == proto.KindUnknown {
			status = http.StatusGatewayTimeout
		}
		o.log.Warn("failed to apply configuration change", "error", err)
		return c.JSON(status, OperatorError{Kind: proto.KindOf(err), Error: err.Error()})
	}
	switch {
	case result.Conflict != nil:
		return c.JSON(http.StatusConflict, result)
	case len(result.Faults) > 0:
		return c.JSON(http.StatusUnprocessableEntity, result)
	}
	o.log.Info("applied configuration change", "generation", result.Generation, "applyId", result.ApplyID)
	return c.JSON(http.StatusOK, result)
}

var (
	varsMu sync.Mutex
	vars   = map[string]func() any{}
)

// PublishVars publishes a daemon's metrics under its name; a later daemon of the same name in the process replaces them.
func PublishVars(name string, fn func() any) {
	varsMu.Lock()
	defer varsMu.Unlock()
	_, known := vars[name]
	vars[name] = fn
	if known {
		return
	}
	expvar.Publish("emberlead."+name, expvar.Func(func() any {
		varsMu.Lock()
		current := vars[name]
		varsMu.Unlock()
		return current()
	}))
}

// Shutdown stops a server once its requests are done, and closes it if the context ends first.
func Shutdown(ctx context.Context, s *http.Server) {
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}
