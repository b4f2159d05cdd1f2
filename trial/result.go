package trial

import (
	"maps"
	"slices"
	"time"
)

// WorkspaceResult counts the outcomes of a workspace's requests.
type WorkspaceResult struct {
	Requests, OnTime, Late, NotRun, Failed int
}

// StageResult is the slot time spent on a stage.
type StageResult struct {
	Busy   time.Duration
	Wasted time.Duration
}

// Result is the outcome of one run, or of several runs combined.
type Result struct {
	Workspaces    map[string]*WorkspaceResult
	Stages        map[string]*StageResult
	P50, P95, P99 time.Duration
	runs          int
}

func (r *Result) workspace(name string) *WorkspaceResult {
	w := r.Workspaces[name]
	if w == nil {
		w = &WorkspaceResult{}
		r.Workspaces[name] = w
	}
	return w
}

func (r *Result) addStageTime(service, stage string, busy time.Duration, wasted bool) {
	if r.Stages == nil {
		r.Stages = map[string]*StageResult{}
	}
	name := service + "/" + stage
	st := r.Stages[name]
	if st == nil {
		st = &StageResult{}
		r.Stages[name] = st
	}
	st.Busy += busy
	if wasted {
		st.Wasted += busy
	}
}

// Attainment returns the lowest attainment of any workspace, that of all requests together, and the number of requests sent.
func (r *Result) Attainment() (worst, mean float64, requests int) {
	worst = 1
	onTime := 0
	for _, w := range r.Workspaces {
		requests += w.Requests
		onTime += w.OnTime
		if w.Requests > 0 {
			worst = min(worst, float64(w.OnTime)/float64(w.Requests))
		}
	}
	return worst, float64(onTime) / float64(max(1, requests)), requests
}

// OnTime returns the number of requests delivered before their deadlines.
func (r *Result) OnTime() int {
	n := 0
	for _, w := range r.Workspaces {
		n += w.OnTime
	}
	return n
}

// Cost returns the busy time of all stages and the part of it that was wasted.
func (r *Result) Cost() (busy, wasted time.Duration) {
	for _, st := range r.Stages {
		busy += st.Busy
		wasted += st.Wasted
	}
	return busy, wasted
}

// merge merges another run into r; quantiles are averaged over the runs.
func (r *Result) merge(other Result) {
	for _, name := range slices.Sorted(maps.Keys(other.Workspaces)) {
		w, o := r.workspace(name), other.Workspaces[name]
		w.Requests += o.Requests
		w.OnTime += o.OnTime
		w.Late += o.Late
		w.NotRun += o.NotRun
		w.Failed += o.Failed
	}
	if r.Stages == nil {
		r.Stages = map[string]*StageResult{}
	}
	for name, o := range other.Stages {
		st := r.Stages[name]
		if st == nil {
			st = &StageResult{}
			r.Stages[name] = st
		}
		st.Busy += o.Busy
		st.Wasted += o.Wasted
	}
	n := time.Duration(r.runs)
	r.P50 = (r.P50*n + other.P50) / (n + 1)
	r.P95 = (r.P95*n + other.P95) / (n + 1)
	r.P99 = (r.P99*n + other.P99) / (n + 1)
	r.runs++
}
