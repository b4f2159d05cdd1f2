package trial

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"
	"time"

	"emberlead/examples"
	"emberlead/proto"
)

// Seeds are the seeds that a comparison uses.
var Seeds = []uint64{1, 2, 3}

const entryCount = 4

// LoadExample returns an example deployment. It fails with proto.KindNotFound or proto.KindInvalid.
func LoadExample(name string) (*proto.File, error) {
	data, err := examples.Files.ReadFile(name + ".json")
	if err != nil {
		return nil, &Error{Op: "load example", Kind: proto.KindNotFound, Err: err}
	}
	file, faults := proto.ReadFile(data)
	if len(faults) > 0 {
		return nil, newError("load example", proto.KindInvalid, "%v", faults)
	}
	return file, nil
}

// Run simulates one case with one variant for every seed and returns the combined result.
func Run(file *proto.File, c *Case, v Variant, seeds []uint64) (Result, Bound) {
	total := Result{Workspaces: map[string]*WorkspaceResult{}}
	bound := Bound{}
	for _, seed := range seeds {
		simulation := newSim(file, c, v, seed, entryCount)
		total.merge(simulation.run())
		bound.addRun(simulation)
	}
	return total, bound
}

// Bound is the number of requests that an omniscient scheduler could have delivered at most.
type Bound struct {
	Requests  int
	MaxOnTime int
}

func (b *Bound) addRun(s *sim) {
	requests := map[string]int{}
	longest := time.Duration(0)
	for _, r := range s.requests {
		if r.measured {
			requests[r.service.Name]++
			b.Requests++
		}
		longest = max(longest, r.service.Deadline.Std())
	}
	b.MaxOnTime += deliveryBound(s.file, requests, runDuration+longest)
}

type caseResult struct {
	result Result
	bound  Bound
}

// Compare simulates every case of a deployment with every variant and writes a table for each case. If only is not
// empty, the cases that it does not name are skipped.
func Compare(w io.Writer, deployment string, seeds []uint64, only []string) error {
	file, err := LoadExample(deployment)
	if err != nil {
		return err
	}
	cases, variants := Cases(deployment), Variants()
	if len(only) > 0 {
		cases = slices.DeleteFunc(cases, func(c *Case) bool { return !slices.Contains(only, c.Name) })
	}
	cells := runAll(file, cases, variants, seeds)
	fmt.Fprintf(w, "## %s\n\n%d daemons, %d seeds, %.0f requests a second at full use of the tightest pool.\n", deployment, entryCount, len(seeds), capacity(file))
	for i, c := range cases {
		writeCase(w, file, c, variants, cells[i])
	}
	return nil
}

func runAll(file *proto.File, cases []*Case, variants []Variant, seeds []uint64) [][]caseResult {
	cells := make([][]caseResult, len(cases))
	semaphore := make(chan struct{}, runtime.GOMAXPROCS(0))
	var group sync.WaitGroup
	for i, c := range cases {
		cells[i] = make([]caseResult, len(variants))
		for j, v := range variants {
			group.Go(func() {
				semaphore <- struct{}{}
				defer func() { <-semaphore }()
				cells[i][j].result, cells[i][j].bound = Run(file, c, v, seeds)
			})
		}
	}
	group.Wait()
	return cells
}

func writeCase(w io.Writer, file *proto.File, c *Case, variants []Variant, row []caseResult) {
	_, _, requests := row[0].result.Attainment()
	fmt.Fprintf(w, "\n### %s\n\n", c.Name)
	fmt.Fprintf(w, "Use %.1f, reports %s late, %d asked; at most %.4f could be delivered in time.\n\n", c.OfferedLoad, c.ReportDelay, requests, float64(row[0].bound.MaxOnTime)/float64(max(1, row[0].bound.Requests)))
	fmt.Fprintln(w, "| policy | worst workspace | all |", workspaceHeader(file), "busy s | wasted s | p50 | p95 | p99 |")
	fmt.Fprintln(w, "| --- | ---: | ---: |", workspaceAlignment(file), "---: | ---: | ---: | ---: | ---: |")
	for j, v := range variants {
		r := &row[j].result
		worst, mean, _ := r.Attainment()
		busy, wasted := r.Cost()
		fmt.Fprintf(w, "| %s | %.4f | %.4f | %s %.1f | %.1f | %s | %s | %s |\n", v.Name, worst, mean, workspaceCells(file, r),
			busy.Seconds(), wasted.Seconds(), formatMillis(r.P50), formatMillis(r.P95), formatMillis(r.P99))
	}
}

func formatMillis(d time.Duration) string { return fmt.Sprintf("%d ms", d.Milliseconds()) }

func workspaceNames(file *proto.File) []string {
	var all []string
	for _, w := range file.Workspaces {
		all = append(all, w.Name)
	}
	return slices.Clip(all)
}

func workspaceHeader(file *proto.File) string {
	head := ""
	for _, name := range workspaceNames(file) {
		head += name + " | "
	}
	return head
}

func workspaceAlignment(file *proto.File) string {
	rule := ""
	for range workspaceNames(file) {
		rule += "---: | "
	}
	return rule
}

func workspaceCells(file *proto.File, r *Result) string {
	cells := ""
	for _, name := range workspaceNames(file) {
		w := r.workspace(name)
		cells += fmt.Sprintf("%.3f | ", float64(w.OnTime)/float64(max(1, w.Requests)))
	}
	return cells
}
