package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"emberlead/core"
)

// Report is the result of a run as observed by callers and targets.
type Report struct {
	Deployment      string                     `json:"deployment"`
	Seed            uint64                     `json:"seed"`
	Sent            int                        `json:"sent"`
	Delivered       int                        `json:"delivered"`
	OnTime          int                        `json:"onTime"`
	Late            int                        `json:"late"`
	RefusedNotRun   int                        `json:"refusedNotRun"`
	Unknown         int                        `json:"unknown"`
	Lost            int                        `json:"lost"`
	Doubled         int                        `json:"doubled"`
	Misdelivered    int                        `json:"misdelivered"`
	RanAfterRefusal int                        `json:"ranThoughRefused"`
	Resent          int                        `json:"resent"`
	Attainment      map[string]float64         `json:"attainment"`
	CostByStage     map[string]core.StageStats `json:"costByStage"`
	Latency         core.LatencySummary        `json:"latency"`
	Faults          []FaultReport              `json:"faults,omitempty"`
}

// FaultReport describes what was observed of one fault.
type FaultReport struct {
	Fault    string `json:"fault"`
	At       string `json:"at"`
	Observed string `json:"seen"`
}

// GuaranteesHold reports whether no request was lost, run twice, misdelivered, or run although it was refused as not run.
func (r *Report) GuaranteesHold() bool {
	return r.Lost == 0 && r.Doubled == 0 && r.Misdelivered == 0 && r.RanAfterRefusal == 0
}

// WriteTable writes the report in human-readable form.
func (r *Report) WriteTable(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(out, "\n%s, seed %d: %d sent, %d delivered, %d on time, %d late, %d refused as not run, %d unknown\n",
		r.Deployment, r.Seed, r.Sent, r.Delivered, r.OnTime, r.Late, r.RefusedNotRun, r.Unknown)
	fmt.Fprintf(out, "lost %d, doubled %d, misdelivered %d, run though refused %d, sent again by callers %d\n",
		r.Lost, r.Doubled, r.Misdelivered, r.RanAfterRefusal, r.Resent)
	fmt.Fprintf(out, "latency p50 %s, p95 %s, p99 %s\n\n", r.Latency.P50, r.Latency.P95, r.Latency.P99)
	fmt.Fprintln(w, "WORKSPACE\tATTAINMENT\t")
	for _, name := range slices.Sorted(maps.Keys(r.Attainment)) {
		fmt.Fprintf(w, "%s\t%.4f\t\n", name, r.Attainment[name])
	}
	fmt.Fprintln(w, "\t\t")
	fmt.Fprintln(w, "STAGE\tBUSY\tTOKENS\tATTEMPTS\tWASTED\tRETRIES\tHEDGES\t")
	for _, name := range slices.Sorted(maps.Keys(r.CostByStage)) {
		s := r.CostByStage[name]
		fmt.Fprintf(w, "%s\t%.2fs\t%d\t%d\t%d\t%d\t%d\t\n", name, s.Busy.Std().Seconds(), s.Tokens, s.Attempts, s.Wasted, s.Retries, s.Hedges)
	}
	_ = w.Flush()
	for _, f := range r.Faults {
		fmt.Fprintf(out, "fault %s at %s: %s\n", f.Fault, f.At, f.Observed)
	}
}
