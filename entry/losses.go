package entry

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"emberlead/proto"
)

// lossWindow is the default length of the intervals for which losses are shown.
const lossWindow = 2 * time.Second

func lossesCommand() *cli.Command {
	return &cli.Command{
		Name:      "losses",
		Usage:     "show where requests lost their worth, from the logs of all daemons",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "worth", Usage: "`GOAL=FULL/LATE`: what an answer in time and a late one are worth on routes with such a goal, such as 1.1s=4.7/0.7"},
			&cli.FloatFlag{Name: "sized", Usage: "the `PART` of a worth that grows with the tokens of a request against the mean of its route"},
			&cli.DurationFlag{Name: "every", Value: lossWindow, Usage: "length of the spans of time"},
		},
		Action: runLosses,
	}
}

func runLosses(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return usage("losses needs at least one file, see emberlead losses --help")
	}
	worths, err := readWorths(c.StringSlice("worth"))
	if err != nil {
		return err
	}
	lines, err := readLogs(c.Args().Slice())
	if err != nil {
		return exit(ExitUsage, err)
	}
	all, unrouted := requestEnds(lines)
	ends, uncounted := worths.counted(all)
	report := newLossReport(ends, worths, c.Duration("every"), c.Float("sized"))
	report.uncounted, report.unrouted = uncounted, unrouted
	return report.print(c.Root().Writer)
}

// worth is the value of an answer delivered in time, and that of a late one.
type worth struct{ full, late float64 }

// routeWorths maps the goals of routes to the worth of their requests. The key is the goal, since names of routes
// change.
type routeWorths map[time.Duration]worth

// of returns the worth for a goal. For an unknown goal it is 1 for an answer in time and 0 for a late one.
func (w routeWorths) of(goal time.Duration) worth {
	if known, ok := w[goal]; ok {
		return known
	}
	return worth{full: 1}
}

// counted drops the requests of routes without a known worth, such as probes of whether a route exists, and returns the
// number of those dropped. Without any --worth all requests count.
func (w routeWorths) counted(ends []requestEnd) (counted []requestEnd, left int) {
	for i := range ends {
		if _, known := w[ends[i].goal]; known || len(w) == 0 {
			counted = append(counted, ends[i])
		}
	}
	return counted, len(ends) - len(counted)
}

// sizeMost bounds the factor by which the worth of a large request exceeds that of its route.
const sizeMost = 4

// scaled returns the worth of a request whose size is times the mean of its route; sized is the part that scales with
// it.
func (w worth) scaled(times, sized float64) worth {
	factor := min(sizeMost, 1-sized+sized*times)
	return worth{w.full * factor, w.late * factor}
}

// meanTokens returns the mean request size for each goal.
func meanTokens(ends []requestEnd) map[time.Duration]float64 {
	sum, count := map[time.Duration]float64{}, map[time.Duration]float64{}
	for i := range ends {
		sum[ends[i].goal] += ends[i].tokens
		count[ends[i].goal]++
	}
	for goal := range sum {
		sum[goal] /= count[goal]
	}
	return sum
}

func readWorths(texts []string) (routeWorths, error) {
	worths := routeWorths{}
	for _, text := range texts {
		goal, values, ok := strings.Cut(text, "=")
		full, late, both := strings.Cut(values, "/")
		length, err := time.ParseDuration(goal)
		if !ok || !both || err != nil {
			return nil, usage("worth: %q is not of the form 1.1s=4.7/0.7", text)
		}
		var w worth
		for value, into := range map[string]*float64{full: &w.full, late: &w.late} {
			if *into, err = strconv.ParseFloat(value, 64); err != nil {
				return nil, usage("worth: %q is not a number in %q", value, text)
			}
		}
		worths[length] = w
	}
	return worths, nil
}

// loss is the number of requests that lost worth for one reason, and the worth lost.
type loss struct {
	requests int
	worth    float64
}

// lossReport breaks lost worth down by route and reason, and by interval.
type lossReport struct {
	asked   map[time.Duration]int
	owed    map[time.Duration]float64
	reasons map[lossKey]loss
	moments map[time.Duration]map[string]loss
	every   time.Duration
	lost    float64
	total   float64
	// uncounted is the number of requests of routes without a worth.
	uncounted int
	// unrouted counts, by reason, the attempts that were refused before their route was known.
	unrouted map[string]int
}

type lossKey struct {
	goal   time.Duration
	reason string
}

func newLossReport(ends []requestEnd, worths routeWorths, every time.Duration, sized float64) *lossReport {
	r := &lossReport{
		asked: map[time.Duration]int{}, owed: map[time.Duration]float64{}, reasons: map[lossKey]loss{},
		moments: map[time.Duration]map[string]loss{}, every: every,
	}
	if len(ends) == 0 {
		return r
	}
	start := ends[0].first
	mean := meanTokens(ends)
	for i := range ends {
		w := worths.of(ends[i].goal)
		if of := mean[ends[i].goal]; of > 0 {
			w = w.scaled(ends[i].tokens/of, sized)
		}
		r.take(&ends[i], w, start)
	}
	return r
}

func (r *lossReport) take(e *requestEnd, w worth, start time.Time) {
	got := 0.0
	switch e.outcome {
	case outcomeInTime:
		got = w.full
	case outcomeLate:
		got = w.late
	case outcomeNotOwed:
		return
	}
	r.asked[e.goal]++
	r.owed[e.goal] += w.full
	r.total += w.full
	if got >= w.full {
		return
	}
	lost := w.full - got
	r.lost += lost
	key := lossKey{e.goal, e.reason}
	r.reasons[key] = r.reasons[key].plus(lost)
	moment := e.first.Sub(start).Truncate(r.every)
	if r.moments[moment] == nil {
		r.moments[moment] = map[string]loss{}
	}
	r.moments[moment][e.reason] = r.moments[moment][e.reason].plus(lost)
}

func (l loss) plus(worth float64) loss { return loss{l.requests + 1, l.worth + worth} }

// worstMoments is the number of intervals shown.
const worstMoments = 10

func (r *lossReport) print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "lost %.1f of %.1f owed (%.1f%%)\n", r.lost, r.total, share(r.lost, r.total))
	if r.uncounted > 0 {
		fmt.Fprintf(table, "%d requests of routes without a --worth are not counted\n", r.uncounted)
	}
	for _, reason := range slices.Sorted(maps.Keys(r.unrouted)) {
		fmt.Fprintf(table, "%d tries whose route was not known, with no worth above: %s\n", r.unrouted[reason], reason)
	}
	fmt.Fprintln(table)
	fmt.Fprintln(table, "goal\tasked\trequests\tlost\tof all lost\treason")
	for _, k := range r.byLoss() {
		l := r.reasons[k]
		fmt.Fprintf(table, "%s\t%d\t%d\t%.1f\t%.1f%%\t%s\n", k.goal, r.asked[k.goal], l.requests, l.worth, share(l.worth, r.lost), k.reason)
	}
	fmt.Fprintln(table, "\nfrom\trequests\tlost\tof all lost\tmost for")
	for _, m := range r.worst() {
		all, most := sumLosses(r.moments[m])
		fmt.Fprintf(table, "%s\t%d\t%.1f\t%.1f%%\t%s\n", m, all.requests, all.worth, share(all.worth, r.lost), most)
	}
	if err := table.Flush(); err != nil {
		return &Error{Op: "print", Kind: proto.KindUnavailable, Err: err}
	}
	return nil
}

func (r *lossReport) byLoss() []lossKey {
	var keys []lossKey
	for k := range r.reasons {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b lossKey) int {
		return cmp.Or(cmp.Compare(r.reasons[b].worth, r.reasons[a].worth), cmp.Compare(a.goal, b.goal), cmp.Compare(a.reason, b.reason))
	})
	return keys
}

func (r *lossReport) worst() []time.Duration {
	var moments []time.Duration
	for m := range r.moments {
		moments = append(moments, m)
	}
	slices.SortFunc(moments, func(a, b time.Duration) int {
		x, _ := sumLosses(r.moments[a])
		y, _ := sumLosses(r.moments[b])
		return cmp.Or(cmp.Compare(y.worth, x.worth), cmp.Compare(a, b))
	})
	return moments[:min(worstMoments, len(moments))]
}

func sumLosses(reasons map[string]loss) (all loss, most string) {
	names := make([]string, 0, len(reasons))
	for reason, l := range reasons {
		names = append(names, reason)
		all.requests += l.requests
		all.worth += l.worth
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(reasons[b].worth, reasons[a].worth), cmp.Compare(a, b))
	})
	if len(names) > 0 {
		most = names[0]
	}
	return all, most
}

func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * part / whole
}
