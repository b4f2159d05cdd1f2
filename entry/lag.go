package entry

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"emberlead/proto"
)

const (
	messageBehind  = "configuration behind"
	messageStarted = "starting"
)

func lagCommand() *cli.Command {
	return &cli.Command{
		Name:      "lag",
		Usage:     "show how long each configuration took to all daemons, which are behind and why, from their logs",
		ArgsUsage: "FILE...",
		Action:    runLag,
	}
}

func runLag(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return usageError("lag needs at least one file, see emberlead lag --help")
	}
	lines, err := readLogs(c.Args().Slice())
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	report := newLagReport(lines)
	if len(report.versions) == 0 {
		return withExitCode(ExitFailure, newError("lag", proto.KindNotFound, "no line of %d tells of a configuration", len(lines)))
	}
	return report.print(c.Root().Writer)
}

// lagReport tells when configurations came into force at daemons, from their logs.
type lagReport struct {
	versions []versionSpread
	// behind holds, for each daemon that is behind at the end of its log, the last line that tells why, sorted by VM.
	behind []logLine
}

// versionSpread is how one version came into force, in the order of time.
type versionSpread struct {
	version  float64
	adoption []logLine
}

func newLagReport(lines []logLine) *lagReport {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.At.Compare(b.At) })
	byVersion, inForce, behind := map[float64][]logLine{}, map[string]float64{}, map[string]logLine{}
	for _, l := range lines {
		switch l.Message {
		case messageStarted:
			delete(inForce, l.VM)
			delete(behind, l.VM)
		case messageInForce:
			version := l.number("version")
			byVersion[version] = append(byVersion[version], l)
			inForce[l.VM] = version
		case messageBehind:
			behind[l.VM] = l
		}
	}
	r := &lagReport{}
	for version, adoption := range byVersion {
		r.versions = append(r.versions, versionSpread{version, adoption})
	}
	slices.SortFunc(r.versions, func(a, b versionSpread) int { return int(a.version) - int(b.version) })
	for vm, l := range behind {
		if inForce[vm] < l.number("newest") {
			r.behind = append(r.behind, l)
		}
	}
	slices.SortFunc(r.behind, func(a, b logLine) int { return strings.Compare(a.VM, b.VM) })
	return r
}

func (r *lagReport) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "version\tdaemons\tfirst\thalf after\tlast after\tlast\tfrom\tbytes\tasked\tfailed\tbehind\tstore age")
	for _, v := range r.versions {
		first, half, last := v.adoption[0], v.adoption[len(v.adoption)/2], v.adoption[len(v.adoption)-1]
		fmt.Fprintf(w, "%.0f\t%d\t%s\t%s\t%s\t%s\t%s\t%.0f\t%.0f\t%.0f\t%s\t%s\n", v.version, len(v.adoption), first.At.Format(traceTimeFormat),
			half.At.Sub(first.At).Round(time.Millisecond), last.At.Sub(first.At).Round(time.Millisecond), last.VM, last.text("from"),
			last.number("bytes"), last.number("asked"), last.number("failed"), last.millis("behindMs"), last.millis("storeAgeMs"))
	}
	if err := w.Flush(); err != nil {
		return &Error{Op: "print", Kind: proto.KindUnavailable, Err: err}
	}
	for i := range r.behind {
		if _, err := fmt.Fprintln(out, describeLag(&r.behind[i])); err != nil {
			return &Error{Op: "print", Kind: proto.KindUnavailable, Err: err}
		}
	}
	return nil
}

// millis returns a field that holds milliseconds.
func (l *logLine) millis(name string) time.Duration {
	return time.Duration(l.number(name)) * time.Millisecond
}

// describeLag describes in one sentence why a daemon is behind.
func describeLag(l *logLine) string {
	text := fmt.Sprintf("%s is at %.0f, and knew of %.0f for %s", l.VM, l.number("version"), l.number("newest"), l.millis("behindMs"))
	pending, _ := l.Fields["pending"].(map[string]any)
	switch {
	case len(pending) > 0:
		text += fmt.Sprintf(": %.0f requests of %.0f failed, and it waits for %s", l.number("failed"), l.number("asked"), strings.Join(slices.Sorted(maps.Keys(pending)), ", "))
	case l.number("asked") == 0:
		text += ": it asked no daemon"
	default:
		text += fmt.Sprintf(": %.0f requests of %.0f failed", l.number("failed"), l.number("asked"))
	}
	if failure := l.text("lastFailure"); failure != "" {
		text += "; the last: " + failure
	}
	return text + "."
}
