package trial

import (
	"math/rand/v2"
	"time"

	"emberlead/core"
	"emberlead/proto"
)

// Case is a scenario in which policies are compared.
type Case struct {
	Name string
	// Use is the offered load as a fraction of the tightest pool's capacity.
	Use float64
	// Lag is the delay of load reports.
	Lag time.Duration
	// Burst multiplies the request rate of one service, by name, in the middle of the run.
	Burst map[string]float64
	// Flood multiplies the request rate of the first workspace in the middle of the run.
	Flood float64
	// Slow, Fail and Gone inject faults into a pool's targets, or into a zone, in the middle of the run.
	Slow float64
	Fail bool
	Gone bool
	// Uneven sends half of the requests to the first daemon.
	Uneven bool
	// Cold clears all caches in the middle of the run.
	Cold bool
}

const defaultLag = 200 * time.Millisecond

// Cases returns the scenarios for a deployment.
func Cases(deployment string) []*Case {
	burst := &Case{Name: "burst of match-end summaries", Use: 0.6, Burst: map[string]float64{"match-summary": 6}}
	if deployment == "institute" {
		burst = &Case{Name: "Monday menus", Use: 0.6, Burst: map[string]float64{"weekly-menu": 6}}
	}
	cases := []*Case{
		{Name: "steady", Use: 0.6},
		{Name: "overload by half", Use: 1.5},
		{Name: "overload threefold", Use: 3},
		burst,
		{Name: "flood by one workspace", Use: 0.5, Flood: 12},
		{Name: "one stage slow by 5x", Use: 0.5, Slow: 5},
		{Name: "a third of a pool failing", Use: 0.5, Fail: true},
		{Name: "a zone gone", Use: 0.5, Gone: true},
		{Name: "reports late by 0.1 s", Use: 0.8, Lag: 100 * time.Millisecond},
		{Name: "reports late by 1 s", Use: 0.8, Lag: time.Second},
		{Name: "reports late by 3 s", Use: 0.8, Lag: 3 * time.Second},
		{Name: "uneven balancer", Use: 0.8, Uneven: true},
		{Name: "cold caches", Use: 0.7, Cold: true},
	}
	for _, c := range cases {
		if c.Lag == 0 {
			c.Lag = defaultLag
		}
	}
	return cases
}

// The middle of the run, during which faults and bursts are active, as offsets from the end of the warm-up.
const (
	middleFrom = 4 * time.Second
	middleTo   = 12 * time.Second
)

func inMiddle(passed time.Duration) bool { return passed >= middleFrom && passed < middleTo }

func (c *Case) rate(s *sim, passed time.Duration) float64 {
	rate := c.Use * capacity(s.file)
	if !inMiddle(passed) {
		return rate
	}
	extra := 0.0
	for _, factor := range c.Burst {
		extra += (factor - 1) / float64(len(s.file.Services))
	}
	if c.Flood > 0 {
		extra += (c.Flood - 1) * workspaceShare(len(s.file.Workspaces), 0)
	}
	return rate * (1 + extra)
}

// workspaceShare returns the fraction of the requests that the i-th of n workspaces sends; the first ones send the
// most.
func workspaceShare(n, i int) float64 {
	return float64(2*(n-i)-1) / float64(n*n)
}

// draw picks a service and a workspace at random. A burst or flood adds to the traffic of the others and displaces none
// of it.
func (c *Case) draw(s *sim, source *rand.Rand, passed time.Duration) (*proto.Service, string) {
	services, workspaces := s.file.Services, s.file.Workspaces
	service := &services[source.IntN(len(services))]
	workspace := workspaces[min(source.IntN(len(workspaces)), source.IntN(len(workspaces)))].Name
	pick := source.Float64()
	if !inMiddle(passed) {
		return service, workspace
	}
	for i := range services {
		if factor := c.Burst[services[i].Name]; factor > 0 {
			extra := (factor - 1) / float64(len(services))
			if pick < extra/(1+extra) {
				service = &services[i]
			}
		}
	}
	if c.Flood > 0 {
		extra := (c.Flood - 1) * workspaceShare(len(workspaces), 0)
		if pick < extra/(1+extra) {
			workspace = workspaces[0].Name
		}
	}
	return service, workspace
}

func (c *Case) balance(source *rand.Rand, entries int) int {
	entry := source.IntN(entries)
	if c.Uneven && source.IntN(2) == 0 {
		return 0
	}
	return entry
}

// begin schedules the faults of the measured part of the run.
func (c *Case) begin(s *sim) {
	s.after(middleFrom, func() { c.fault(s, true) })
	s.after(middleTo, func() { c.fault(s, false) })
}

func (c *Case) fault(s *sim, on bool) {
	zone := zonesOf(s.file)[1]
	hit := 0
	for _, t := range s.order {
		if c.Gone && t.spec.Zone == zone {
			t.dead = on
		}
		if c.Cold && on {
			t.cache = nil
		}
		if t.kind != proto.PoolRetriever {
			continue
		}
		hit++
		if c.Slow > 0 {
			t.slow = 1
			if on {
				t.slow = c.Slow
			}
		}
		if c.Fail && hit <= 2 {
			t.failing = on
		}
	}
}

// Variant is one of the policies under comparison.
type Variant struct {
	Name    string
	Options func() []core.Option
}

func variant(name string, router core.RouterName, change func(*core.Tuning)) Variant {
	return Variant{Name: name, Options: func() []core.Option {
		t := core.DefaultTuning()
		change(&t)
		return []core.Option{core.WithTuning(t), core.WithRouter(router)}
	}}
}

// plain disables the features that a simple load balancer lacks.
func plain(t *core.Tuning) {
	t.Admission, t.FairQueueing, t.Limits = false, false, false
	t.HedgeRatio = 0
	t.EjectAfter = 0
}

// Variants returns the policy that daemons use, followed by the baselines.
func Variants() []Variant {
	same := func(*core.Tuning) {}
	return []Variant{
		variant("emberlead", core.RouterExpectedFinish, same),
		variant("random", core.RouterRandom, plain),
		variant("round robin", core.RouterRoundRobin, plain),
		variant("least outstanding", core.RouterLeastOutstanding, plain),
		variant("FIFO", core.RouterExpectedFinish, func(t *core.Tuning) { t.FairQueueing = false }),
		variant("no admission", core.RouterExpectedFinish, func(t *core.Tuning) { t.Admission = false }),
		variant("no retries", core.RouterExpectedFinish, func(t *core.Tuning) { t.MaxAttempts, t.RetryRatio, t.HedgeRatio = 1, 0, 0 }),
	}
}
