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
	// OfferedLoad is the offered load as a fraction of the tightest pool's capacity.
	OfferedLoad float64
	// ReportDelay is the delay of load reports.
	ReportDelay time.Duration
	// BurstFactors multiplies the request rate of one service, by name, in the middle of the run.
	BurstFactors map[string]float64
	// FloodFactor multiplies the request rate of the first workspace in the middle of the run.
	FloodFactor float64
	// SlowFactor, Fail and Gone inject faults into a pool's targets, or into a zone, in the middle of the run.
	SlowFactor  float64
	FailTargets bool
	ZoneDown    bool
	// UnevenBalancer sends half of the requests to the first daemon.
	UnevenBalancer bool
	// ClearCaches clears all caches in the middle of the run.
	ClearCaches bool
}

const defaultReportDelay = 200 * time.Millisecond

// Cases returns the scenarios for a deployment.
func Cases(deployment string) []*Case {
	burst := &Case{Name: "burst of match-end summaries", OfferedLoad: 0.6, BurstFactors: map[string]float64{"match-summary": 6}}
	if deployment == "institute" {
		burst = &Case{Name: "Monday menus", OfferedLoad: 0.6, BurstFactors: map[string]float64{"weekly-menu": 6}}
	}
	cases := []*Case{
		{Name: "steady", OfferedLoad: 0.6},
		{Name: "overload by half", OfferedLoad: 1.5},
		{Name: "overload threefold", OfferedLoad: 3},
		burst,
		{Name: "flood by one workspace", OfferedLoad: 0.5, FloodFactor: 12},
		{Name: "one stage slow by 5x", OfferedLoad: 0.5, SlowFactor: 5},
		{Name: "a third of a pool failing", OfferedLoad: 0.5, FailTargets: true},
		{Name: "a zone gone", OfferedLoad: 0.5, ZoneDown: true},
		{Name: "reports late by 0.1 s", OfferedLoad: 0.8, ReportDelay: 100 * time.Millisecond},
		{Name: "reports late by 1 s", OfferedLoad: 0.8, ReportDelay: time.Second},
		{Name: "reports late by 3 s", OfferedLoad: 0.8, ReportDelay: 3 * time.Second},
		{Name: "uneven balancer", OfferedLoad: 0.8, UnevenBalancer: true},
		{Name: "cold caches", OfferedLoad: 0.7, ClearCaches: true},
	}
	for _, c := range cases {
		if c.ReportDelay == 0 {
			c.ReportDelay = defaultReportDelay
		}
	}
	return cases
}

// The middle of the run, during which faults and bursts are active, as offsets from the end of the warm-up.
const (
	middleStart = 4 * time.Second
	middleEnd   = 12 * time.Second
)

func inMiddle(elapsed time.Duration) bool { return elapsed >= middleStart && elapsed < middleEnd }

func (c *Case) arrivalRate(s *sim, elapsed time.Duration) float64 {
	rate := c.OfferedLoad * capacity(s.file)
	if !inMiddle(elapsed) {
		return rate
	}
	extra := 0.0
	for _, factor := range c.BurstFactors {
		extra += (factor - 1) / float64(len(s.file.Services))
	}
	if c.FloodFactor > 0 {
		extra += (c.FloodFactor - 1) * workspaceShare(len(s.file.Workspaces), 0)
	}
	return rate * (1 + extra)
}

// workspaceShare returns the fraction of the requests that the i-th of n workspaces sends; the first ones send the most.
func workspaceShare(n, i int) float64 {
	return float64(2*(n-i)-1) / float64(n*n)
}

// pickRequest picks a service and a workspace at random. A burst or flood adds to the traffic of the others and displaces none of it.
func (c *Case) pickRequest(s *sim, random *rand.Rand, elapsed time.Duration) (*proto.Service, string) {
	services, workspaces := s.file.Services, s.file.Workspaces
	service := &services[random.IntN(len(services))]
	workspace := workspaces[min(random.IntN(len(workspaces)), random.IntN(len(workspaces)))].Name
	draw := random.Float64()
	if !inMiddle(elapsed) {
		return service, workspace
	}
	for i := range services {
		if factor := c.BurstFactors[services[i].Name]; factor > 0 {
			extra := (factor - 1) / float64(len(services))
			if draw < extra/(1+extra) {
				service = &services[i]
			}
		}
	}
	if c.FloodFactor > 0 {
		extra := (c.FloodFactor - 1) * workspaceShare(len(workspaces), 0)
		if draw < extra/(1+extra) {
			workspace = workspaces[0].Name
		}
	}
	return service, workspace
}

func (c *Case) pickEntry(random *rand.Rand, entries int) int {
	entry := random.IntN(entries)
	if c.UnevenBalancer && random.IntN(2) == 0 {
		return 0
	}
	return entry
}

// scheduleFaults schedules the faults of the measured part of the run.
func (c *Case) scheduleFaults(s *sim) {
	s.schedule(middleStart, func() { c.setFaults(s, true) })
	s.schedule(middleEnd, func() { c.setFaults(s, false) })
}

func (c *Case) setFaults(s *sim, active bool) {
	zone := zonesOf(s.file)[1]
	retrievers := 0
	for _, t := range s.targetOrder {
		if c.ZoneDown && t.spec.Zone == zone {
			t.down = active
		}
		if c.ClearCaches && active {
			t.cache = nil
		}
		if t.kind != proto.PoolRetriever {
			continue
		}
		retrievers++
		if c.SlowFactor > 0 {
			t.slow = 1
			if active {
				t.slow = c.SlowFactor
			}
		}
		if c.FailTargets && retrievers <= 2 {
			t.failing = active
		}
	}
}

// Variant is one of the policies under comparison.
type Variant struct {
	Name    string
	Options func() []core.Option
}

func newVariant(name string, router core.RouterName, change func(*core.Tuning)) Variant {
	return Variant{Name: name, Options: func() []core.Option {
		t := core.DefaultTuning()
		change(&t)
		return []core.Option{core.WithTuning(t), core.WithRouter(router)}
	}}
}

// disableFeatures disables the features that a simple load balancer lacks.
func disableFeatures(t *core.Tuning) {
	t.Admission, t.FairQueueing, t.Limits = false, false, false
	t.HedgeRatio = 0
	t.EjectAfter = 0
}

// Variants returns the policy that daemons use, followed by the baselines.
func Variants() []Variant {
	unchanged := func(*core.Tuning) {}
	return []Variant{
		newVariant("emberlead", core.RouterExpectedFinish, unchanged),
		newVariant("random", core.RouterRandom, disableFeatures),
		newVariant("round robin", core.RouterRoundRobin, disableFeatures),
		newVariant("least outstanding", core.RouterLeastOutstanding, disableFeatures),
		newVariant("FIFO", core.RouterExpectedFinish, func(t *core.Tuning) { t.FairQueueing = false }),
		newVariant("no admission", core.RouterExpectedFinish, func(t *core.Tuning) { t.Admission = false }),
		newVariant("no retries", core.RouterExpectedFinish, func(t *core.Tuning) { t.MaxAttempts, t.RetryRatio, t.HedgeRatio = 1, 0, 0 }),
	}
}
