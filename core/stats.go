package core

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"emberlead/proto"
)

const (
	histogramMin    = int64(time.Microsecond)
	histogramMax    = int64(10 * time.Minute)
	histogramDigits = 2
)

// WorkspaceStats counts how the requests of one workspace ended.
type WorkspaceStats struct {
	Requests      int64 `json:"asked"`
	Delivered     int64 `json:"delivered"`
	OnTime        int64 `json:"onTime"`
	RefusedNotRun int64 `json:"refusedNotRun"`
	Unknown       int64 `json:"unknown"`
	CallerLeft    int64 `json:"callerLeft"`
}

// Attainment returns the fraction of all requests that was answered within the deadline.
func (w *WorkspaceStats) Attainment() float64 {
	if w.Requests == 0 {
		return 1
	}
	return float64(w.OnTime) / float64(w.Requests)
}

// StageStats holds the cost of one stage of one service.
type StageStats struct {
	Busy     proto.Duration `json:"busy"`
	Tokens   int64          `json:"tokens"`
	Attempts int64          `json:"attempts"`
	Wasted   int64          `json:"wasted"`
	Retries  int64          `json:"retries"`
	Hedges   int64          `json:"hedges"`
}

// DropStats counts answers that were dropped because they matched no attempt in progress, and attempts that were moved.
type DropStats struct {
	Late       int64 `json:"late"`
	Duplicates int64 `json:"duplicates"`
	Gaps       int64 `json:"gaps"`
	// Moved counts attempts that were continued at another target because of a planned stop.
	Moved int64 `json:"moved"`
}

// Stats collects the statistics of an engine.
type Stats struct {
	mu                sync.Mutex
	workspaces        map[string]*WorkspaceStats
	stages            map[string]*StageStats
	drops             DropStats
	latency           *hdrhistogram.Histogram
	firstTokenLatency *hdrhistogram.Histogram
}

func newStats() *Stats {
	return &Stats{
		workspaces:        map[string]*WorkspaceStats{},
		stages:            map[string]*StageStats{},
		latency:           hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		firstTokenLatency: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
}

func (s *Stats) workspace(name string) *WorkspaceStats {
	w := s.workspaces[name]
	if w == nil {
		w = &WorkspaceStats{}
		s.workspaces[name] = w
	}
	return w
}

func (s *Stats) stage(service, stage string) *StageStats {
	name := service + "/" + stage
	st := s.stages[name]
	if st == nil {
		st = &StageStats{}
		s.stages[name] = st
	}
	return st
}

func (s *Stats) update(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
}

func (s *Stats) countRequest(workspace string) {
	s.update(func() { s.workspace(workspace).Requests++ })
}

func (s *Stats) countAttempt(service, stage string) {
	s.update(func() { s.stage(service, stage).Attempts++ })
}

func (s *Stats) countRetry(service, stage string) {
	s.update(func() { s.stage(service, stage).Retries++ })
}

func (s *Stats) countHedge(service, stage string) {
	s.update(func() { s.stage(service, stage).Hedges++ })
}

func (s *Stats) countLate(time.Duration) { s.update(func() { s.drops.Late++ }) }

func (s *Stats) countDuplicate() { s.update(func() { s.drops.Duplicates++ }) }

func (s *Stats) countGap() { s.update(func() { s.drops.Gaps++ }) }

func (s *Stats) countMoved() { s.update(func() { s.drops.Moved++ }) }

func (s *Stats) recordFirstToken(_ string, took time.Duration) {
	s.update(func() { _ = s.firstTokenLatency.RecordValue(int64(took)) })
}

func (s *Stats) recordWasted(service, stage string, spent time.Duration) {
	s.update(func() {
		st := s.stage(service, stage)
		st.Wasted++
		st.Busy += proto.Duration(spent)
	})
}

func (s *Stats) recordSpent(service, stage string, spent time.Duration, tokens int, status AttemptStatus) {
	s.update(func() {
		st := s.stage(service, stage)
		st.Busy += proto.Duration(spent)
		st.Tokens += int64(tokens)
		if status != StatusDone {
			st.Wasted++
		}
	})
}

func (s *Stats) recordEnd(r *request, now time.Time, failure *proto.Failure) {
	s.update(func() {
		w := s.workspace(r.workspace)
		switch {
		case failure == nil:
			w.Delivered++
			if !now.After(r.deadline) {
				w.OnTime++
			}
			_ = s.latency.RecordValue(int64(now.Sub(r.arrived)))
		case failure.Kind == proto.FailureCallerLeft || failure.Kind == proto.FailureSlowCaller:
			w.CallerLeft++
		case failure.Outcome == proto.OutcomeNotRun:
			w.RefusedNotRun++
		default:
			w.Unknown++
		}
	})
}

// LatencySummary holds quantiles of the time from arrival to the complete answer.
type LatencySummary struct {
	P50 proto.Duration `json:"p50"`
	P95 proto.Duration `json:"p95"`
	P99 proto.Duration `json:"p99"`
}

// Summarize returns the quantiles of a histogram of nanoseconds.
func Summarize(h *hdrhistogram.Histogram) LatencySummary {
	return LatencySummary{
		P50: proto.Duration(h.ValueAtQuantile(50)),
		P95: proto.Duration(h.ValueAtQuantile(95)),
		P99: proto.Duration(h.ValueAtQuantile(99)),
	}
}

// Report is a copy of the statistics of an engine.
type Report struct {
	Workspaces map[string]WorkspaceStats `json:"workspaces"`
	Attainment map[string]float64        `json:"attainment"`
	Stages     map[string]StageStats     `json:"costByStage"`
	Drops      DropStats                 `json:"drops"`
	Latency    LatencySummary            `json:"latency"`
	FirstToken LatencySummary            `json:"firstToken"`
}

// Report returns a copy of the statistics.
func (s *Stats) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Report{
		Workspaces: map[string]WorkspaceStats{},
		Attainment: map[string]float64{},
		Stages:     map[string]StageStats{},
		Drops:      s.drops,
		Latency:    Summarize(s.latency),
		FirstToken: Summarize(s.firstTokenLatency),
	}
	for name, w := range s.workspaces {
		r.Workspaces[name] = *w
		r.Attainment[name] = w.Attainment()
	}
	for name, st := range s.stages {
		r.Stages[name] = *st
	}
	return r
}

// MergeStages adds the stage costs of one report to those of another.
func MergeStages(into, from map[string]StageStats) {
	for name := range maps.Keys(from) {
		a, b := into[name], from[name]
		a.Busy += b.Busy
		a.Tokens += b.Tokens
		a.Attempts += b.Attempts
		a.Wasted += b.Wasted
		a.Retries += b.Retries
		a.Hedges += b.Hedges
		into[name] = a
	}
}
