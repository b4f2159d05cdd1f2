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

// defaultInterval is the default length of the intervals for which losses are shown.
const defaultInterval = 2 * time.Second

func lossesCommand() *cli.Command {
	return &cli.Command{
		Name:      "losses",
		Usage:     "show where requests lost their worth, from the logs of all daemons",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "worth", Usage: "`GOAL=FULL/LATE`: what an answer in time and a late one are worth on routes with such a goal, such as 1.1s=4.7/0.7"},
			&cli.FloatFlag{Name: "sized", Usage: "the `PART` of a worth that grows with the tokens of a request against the mean of its route"},
			&cli.DurationFlag{Name: "every", Value: defaultInterval, Usage: "length of the spans of time"},
		},
		Action: runLosses,
	}
}

func runLosses(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return usageError("losses needs at least one file, see emberlead losses --help")
	}
	worths, err := parseWorths(c.StringSlice("worth"))
	if err != nil {
		return err
	}
	lines, err := readLogs(c.Args().Slice())
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	all, unrouted := requestResults(lines)
	results, dropped := worths.withKnownWorth(all)
	report := newLossReport(results, worths, c.Duration("every"), c.Float("sized"))
	report.uncounted, report.unrouted, report.refusals = dropped, unrouted, newRefusalTable(lines)
	return report.print(c.Root().Writer)
}

// worth is the value of an answer delivered in time, and that of a late one.
type worth struct{ inTime, late float64 }

// routeWorths maps the goals of routes to the worth of their requests. The key is the goal, since names of routes change.
type routeWorths map[time.Duration]worth

// forGoal returns the worth for a goal. For an unknown goal it is 1 for an answer in time and 0 for a late one.
func (w routeWorths) forGoal(goal time.Duration) worth {
	if known, ok := w[goal]; ok {
		return known
	}
	return worth{inTime: 1}
}

// withKnownWorth drops the requests of routes without a known worth, such as probes of whether a route exists, and
// returns the number of those dropped. Without any --worth all requests count.
func (w routeWorths) withKnownWorth(results []requestResult) (kept []requestResult, dropped int) {
	for i := range results {
		if _, known := w[results[i].goal]; known || len(w) == 0 {
			kept = append(kept, results[i])
		}
	}
	return kept, len(results) - len(kept)
}

// maxSizeFactor bounds the factor by which the worth of a large request exceeds that of its route.
const maxSizeFactor = 4

// scaled returns the worth of a request whose size is relativeSize times the mean of its route; sizeShare is the part
// of the worth that grows with the size.
func (w worth) scaled(relativeSize, sizeShare float64) worth {
	factor := min(maxSizeFactor, 1-sizeShare+sizeShare*relativeSize)
	return worth{w.inTime * factor, w.late * factor}
}

// meanSizes returns the mean request size for each goal.
func meanSizes(results []requestResult) map[time.Duration]float64 {
	sum, count := map[time.Duration]float64{}, map[time.Duration]float64{}
	for i := range results {
		sum[results[i].goal] += results[i].size
		count[results[i].goal]++
	}
	for goal := range sum {
		sum[goal] /= count[goal]
	}
	return sum
}

func parseWorths(texts []string) (routeWorths, error) {
	worths := routeWorths{}
	for _, text := range texts {
		goal, values, ok := strings.Cut(text, "=")
		inTime, late, hasLate := strings.Cut(values, "/")
		duration, err := time.ParseDuration(goal)
		if !ok || !hasLate || err != nil {
			return nil, usageError("worth: %q is not of the form 1.1s=4.7/0.7", text)
		}
		var w worth
		for value, field := range map[string]*float64{inTime: &w.inTime, late: &w.late} {
			if *field, err = strconv.ParseFloat(value, 64); err != nil {
				return nil, usageError("worth: %q is not a number in %q", value, text)
			}
		}
		worths[duration] = w
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
	requests  map[time.Duration]int
	owed      map[time.Duration]float64
	reasons   map[lossKey]loss
	intervals map[time.Duration]map[string]loss
	interval  time.Duration
	lost      float64
	total     float64
	// uncounted is the number of requests of routes without a worth.
	uncounted int
	// refusals has all refusals as not run, those of retries included.
	refusals refusalTable
	// unrouted counts, by reason, the attempts that were refused before their route was known.
	unrouted map[string]int
}

type lossKey struct {
	goal   time.Duration
	reason string
}

func newLossReport(results []requestResult, worths routeWorths, interval time.Duration, sizeShare float64) *lossReport {
	r := &lossReport{
		requests: map[time.Duration]int{}, owed: map[time.Duration]float64{}, reasons: map[lossKey]loss{},
		intervals: map[time.Duration]map[string]loss{}, interval: interval,
	}
	if len(results) == 0 {
		return r
	}
	start := results[0].startedAt
	mean := meanSizes(results)
	for i := range results {
		w := worths.forGoal(results[i].goal)
		if meanSize := mean[results[i].goal]; meanSize > 0 {
			w = w.scaled(results[i].size/meanSize, sizeShare)
		}
		r.record(&results[i], w, start)
	}
	return r
}

func (r *lossReport) record(e *requestResult, w worth, start time.Time) {
	earned := 0.0
	switch e.outcome {
	case outcomeInTime:
		earned = w.inTime
	case outcomeLate:
		earned = w.late
	case outcomeNotOwed:
		return
	}
	r.requests[e.goal]++
	r.owed[e.goal] += w.inTime
	r.total += w.inTime
	if earned >= w.inTime {
		return
	}
	lost := w.inTime - earned
	r.lost += lost
	key := lossKey{e.goal, e.reason}
	r.reasons[key] = r.reasons[key].with(lost)
	interval := e.startedAt.Sub(start).Truncate(r.interval)
	if r.intervals[interval] == nil {
		r.intervals[interval] = map[string]loss{}
	}
	r.intervals[interval][e.reason] = r.intervals[interval][e.reason].with(lost)
}

func (l loss) with(worth float64) loss { return loss{l.requests + 1, l.worth + worth} }

// maxIntervals is the number of intervals shown.
const maxIntervals = 10

func (r *lossReport) print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "lost %.1f of %.1f owed (%.1f%%)\n", r.lost, r.total, percent(r.lost, r.total))
	if r.uncounted > 0 {
		fmt.Fprintf(table, "%d requests of routes without a --worth are not counted\n", r.uncounted)
	}
	for _, reason := range slices.Sorted(maps.Keys(r.unrouted)) {
		fmt.Fprintf(table, "%d tries whose route was not known, with no worth above: %s\n", r.unrouted[reason], reason)
	}
	fmt.Fprintln(table)
	fmt.Fprintln(table, "goal\tasked\trequests\tlost\tof all lost\treason")
	for _, k := range r.keysByLoss() {
		l := r.reasons[k]
		fmt.Fprintf(table, "%s\t%d\t%d\t%.1f\t%.1f%%\t%s\n", k.goal, r.requests[k.goal], l.requests, l.worth, percent(l.worth, r.lost), k.reason)
	}
	fmt.Fprintln(table, "\nfrom\trequests\tlost\tof all lost\tmost for")
	for _, m := range r.worstIntervals() {
		all, topReason := sumLosses(r.intervals[m])
		fmt.Fprintf(table, "%s\t%d\t%.1f\t%.1f%%\t%s\n", m, all.requests, all.worth, percent(all.worth, r.lost), topReason)
	}
	r.refusals.print(table)
	if err := table.Flush(); err != nil {
		return &Error{Op: "print", Kind: proto.KindUnavailable, Err: err}
	}
	return nil
}

func (r *lossReport) keysByLoss() []lossKey {
	var keys []lossKey
	for k := range r.reasons {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b lossKey) int {
		return cmp.Or(cmp.Compare(r.reasons[b].worth, r.reasons[a].worth), cmp.Compare(a.goal, b.goal), cmp.Compare(a.reason, b.reason))
	})
	return keys
}

func (r *lossReport) worstIntervals() []time.Duration {
	var intervals []time.Duration
	for m := range r.intervals {
		intervals = append(intervals, m)
	}
	slices.SortFunc(intervals, func(a, b time.Duration) int {
		x, _ := sumLosses(r.intervals[a])
		y, _ := sumLosses(r.intervals[b])
		return cmp.Or(cmp.Compare(y.worth, x.worth), cmp.Compare(a, b))
	})
	return intervals[:min(maxIntervals, len(intervals))]
}

func sumLosses(reasons map[string]loss) (all loss, topReason string) {
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
		topReason = names[0]
	}
	return all, topReason
}

func percent(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * part / whole
}
