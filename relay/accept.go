package relay

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// accept parses and checks a request. If it fails, nothing has run yet.
func (s *Server) accept(w http.ResponseWriter, r *http.Request, startedAt time.Time) (*flow, *failure) {
	req, err := s.dialect.ParseRequest(r)
	if err != nil {
		return nil, &failure{status: http.StatusBadRequest, reason: err.Error()}
	}
	f := &flow{server: s, w: w, req: req, startedAt: startedAt, triedTargets: map[string]bool{}, lastEventID: req.After}
	table, fail := f.findTable()
	if fail != nil {
		return f, fail
	}
	if fail := f.refuseStopping(startedAt); fail != nil {
		return f, fail
	}
	if fail := f.readBody(r, table.Routing().Limits.MaxBodyBytes); fail != nil {
		return f, fail
	}
	// An upload may take until shortly before the daemon exits.
	if fail := f.refuseStopping(s.clock.Now()); fail != nil {
		return f, fail
	}
	f.digest, f.parts = requestDigest(req, f.workspace), partDigests(req.PromptParts)
	f.choosePool(table)
	f.setDeadlines()
	if fail := f.refuseCrashing(); fail != nil {
		return f, fail
	}
	return f, f.findOrigin(r.Context(), table)
}

// findTable looks up the route and the workspace in the configuration in force, and returns its table.
func (f *flow) findTable() (*Table, *failure) {
	for {
		table := f.server.tables.Current()
		if table == nil {
			return nil, &failure{status: http.StatusServiceUnavailable, retryAfter: outageRetryAfter(f.req), reason: "no configuration is known yet", kind: refusedNoConfiguration}
		}
		fail := f.lookUp(table)
		// A table that was replaced meanwhile rejects nothing: the age belongs to its successor.
		if fail == nil || table == f.server.tables.Current() {
			return table, fail
		}
	}
}

// lookUp finds the route and the workspace of the request in a table.
func (f *flow) lookUp(table *Table) *failure {
	f.routingVersion = table.Routing().Version
	f.route = table.Match(f.req.Host, f.req.Path)
	if f.route == nil {
		return f.server.unknownFailure(http.StatusNotFound, "no route has the host and path")
	}
	return f.authorize(table)
}

func (f *flow) authorize(table *Table) *failure {
	f.workspaceSpec = table.Owner(f.req.APIKey)
	if f.workspaceSpec != nil {
		f.workspace = f.workspaceSpec.Name
		return nil
	}
	if f.route.Public || !table.Keyed() {
		return nil
	}
	return f.server.unknownFailure(http.StatusUnauthorized, "no workspace holds the key")
}

// refuseStopping refuses a request that might still be running when this daemon stops if it begins at the given time.
func (f *flow) refuseStopping(start time.Time) *failure {
	plan := f.server.stopping.Load()
	if plan == nil {
		return nil
	}
	if start.Before(plan.acceptUntil(f.route.Kind, f.server.requestTimes.upperBound(f.route.Name, 0))) {
		return nil
	}
	return &failure{status: http.StatusServiceUnavailable, retryAfter: stoppingRetryAfter, reason: "the daemon stops and the request might be cut off", kind: refusedStopping}
}

func (f *flow) readBody(r *http.Request, maxBytes int64) *failure {
	control := http.NewResponseController(f.w)
	// Connection deadlines use the system clock, which may differ from the daemon's own clock.
	if err := control.SetReadDeadline(time.Now().Add(bodyReadTimeout)); err != nil {
		f.server.log.Debug("failed to set the read deadline for a request body", "request", f.req.ID, "error", err)
	}
	body := r.Body
	if maxBytes > 0 {
		body = http.MaxBytesReader(f.w, r.Body, maxBytes)
	}
	f.bodies.budget = &f.server.bodies
	data, err := io.ReadAll(&countedReader{body, &f.bodies})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoRoom):
		return &failure{status: http.StatusServiceUnavailable, retryAfter: fullRetryAfter, reason: "the bodies of requests in progress take all the memory that they may", kind: refusedTooManyOpen}
	case errors.As(err, &tooLarge):
		return &failure{status: http.StatusRequestEntityTooLarge, reason: "the body is larger than the configuration allows"}
	case err != nil:
		return &failure{status: http.StatusRequestTimeout, reason: "the body did not arrive: " + err.Error()}
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		f.server.log.Debug("failed to clear the read deadline of a connection", "request", f.req.ID, "error", err)
	}
	f.req.Body = data
	return nil
}

// choosePool picks a pool by the weights of the route. It hashes the request id, so that the choice is reproducible.
func (f *flow) choosePool(table *Table) {
	split := f.route.Split
	sum := 0.0
	for _, s := range split {
		sum += s.Weight
	}
	point := float64(xxhash.Sum64String(f.req.ID)%10_000) / 10_000 * sum
	for _, s := range split {
		f.pool = s.Pool
		if point -= s.Weight; point < 0 {
			break
		}
	}
	f.usePool(table, f.pool)
}

// usePool takes over what the configuration says of the request at a pool.
func (f *flow) usePool(table *Table, pool string) {
	f.pool = pool
	f.poolSpec = table.Routing().Pools[f.pool]
	f.rank = table.Rank(f.pool, f.workspaceSpec, f.route)
	f.allowedRegions = f.route.AllowedRegions
	if f.workspaceSpec != nil {
		f.allowedRegions = f.allowedRegions.Intersect(f.workspaceSpec.AllowedRegions)
	}
}

func (f *flow) setDeadlines() {
	timeout := defaultTimeout
	if f.req.CallerTimeout > 0 {
		timeout = min(timeout, f.req.CallerTimeout)
	}
	if f.route.Timeout > 0 {
		timeout = min(timeout, f.route.Timeout)
	}
	f.deadline = f.startedAt.Add(timeout - responseMargin)
	f.due = f.deadline
	if f.route.LatencyGoal > 0 {
		f.due = f.startedAt.Add(min(timeout, f.route.LatencyGoal))
	}
}
