package entry

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"slices"
	"time"
)

// refusalClasses are the upper bounds of the classes of refusals, as fractions of the latency goal, by their headings.
// A refusal belongs to the first class that it fits.
var refusalClasses = [...]struct {
	heading string
	upTo    float64
}{{"to 1/8", 1.0 / 8}, {"to 1/4", 1.0 / 4}, {"to 1/2", 1.0 / 2}, {"to goal", 1}, {"more", math.Inf(1)}}

// refusalPercentile is the percentile of the time to a refusal that is shown.
const refusalPercentile = 0.99

// beforeWorkReason is the row of the refusals before which nothing was done for the request.
const beforeWorkReason = "(all that were refused before any work)"

// refusalRow holds the refusals for one reason.
type refusalRow struct {
	kind string
	// fractions are the times from the arrival as fractions of the latency goal, and noGoal counts the refusals without one.
	fractions []float64
	noGoal    int
}

func (r *refusalRow) count() int { return len(r.fractions) + r.noGoal }

// percentile returns a percentile of the fractions by the nearest rank; they must be sorted and not empty.
func (r *refusalRow) percentile(p float64) float64 {
	rank := int(math.Ceil(p * float64(len(r.fractions))))
	return r.fractions[max(0, rank-1)]
}

// classCounts returns the number of refusals in each class.
func (r *refusalRow) classCounts() (counts [len(refusalClasses)]int) {
	for _, fraction := range r.fractions {
		for i := range refusalClasses {
			if fraction <= refusalClasses[i].upTo {
				counts[i]++
				break
			}
		}
	}
	return counts
}

func (r *refusalRow) add(took, goal time.Duration) {
	if goal <= 0 {
		r.noGoal++
		return
	}
	r.fractions = append(r.fractions, took.Seconds()/goal.Seconds())
}

// refusalTable holds the requests that were refused as not run, by reason.
type refusalTable map[string]*refusalRow

func newRefusalTable(lines []logLine) refusalTable {
	t := refusalTable{}
	for i := range lines {
		l := &lines[i]
		if l.Message != "request refused" || l.Status != http.StatusServiceUnavailable {
			continue
		}
		took, goal := l.duration("took"), l.duration("goal")
		t.row(normalizeReason(l.Reason), l.text("kind")).add(took, goal)
		if !l.workStarted() {
			t.row(beforeWorkReason, "").add(took, goal)
		}
	}
	for _, row := range t {
		slices.Sort(row.fractions)
	}
	return t
}

func (t refusalTable) row(reason, kind string) *refusalRow {
	if t[reason] == nil {
		t[reason] = &refusalRow{kind: cmp.Or(kind, "-")}
	}
	return t[reason]
}

// fateDone is the fate that the log gives to a stage that was completed.
const fateDone = "done"

// workStarted reports whether a stage was completed or a target asked before a request ended.
func (l *logLine) workStarted() bool {
	return l.number("sent") > 0 || slices.ContainsFunc(l.stages(), func(s stageLog) bool { return s.fate == fateDone })
}

// print writes the table, with the most frequent reason first. It writes nothing without a refusal.
func (t refusalTable) print(w io.Writer) {
	if len(t) == 0 {
		return
	}
	fmt.Fprint(w, "\nrefusals\tkind")
	for i := range refusalClasses {
		fmt.Fprintf(w, "\t%s", refusalClasses[i].heading)
	}
	fmt.Fprintln(w, "\tno goal\tp99 of goal\treason")
	reasons := slices.SortedFunc(maps.Keys(t), func(a, b string) int {
		return cmp.Or(cmp.Compare(t[b].count(), t[a].count()), cmp.Compare(a, b))
	})
	for _, reason := range reasons {
		row := t[reason]
		fmt.Fprintf(w, "%d\t%s", row.count(), row.kind)
		for _, n := range row.classCounts() {
			fmt.Fprintf(w, "\t%d", n)
		}
		p99 := "-"
		if len(row.fractions) > 0 {
			p99 = fmt.Sprintf("%.3f", row.percentile(refusalPercentile))
		}
		fmt.Fprintf(w, "\t%d\t%s\t%s\n", row.noGoal, p99, reason)
	}
}
