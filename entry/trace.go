package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"emberlead/proto"
)

const (
	// maxLogLineBytes is the maximum length of a log line in bytes.
	maxLogLineBytes = 1 << 20
	// contextBefore is how long before the request the log lines about its targets are shown.
	contextBefore = 10 * time.Second
)

func traceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "show what happened to one request, from the logs of several daemons",
		ArgsUsage: "REQUEST-ID FILE...",
		Action:    runTrace,
	}
}

func runTrace(_ context.Context, c *cli.Command) error {
	if c.Args().Len() < 2 {
		return usageError("trace needs the id of a request and at least one file, see emberlead trace --help")
	}
	id := c.Args().First()
	lines, err := readLogs(c.Args().Tail())
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	t := newTrace(id, lines)
	if len(t.requestLines) == 0 {
		return withExitCode(ExitFailure, newError("trace", proto.KindNotFound, "no line of %d is about request %s", len(lines), id))
	}
	return t.print(c.Root().Writer)
}

// traceTimeFormat is the format of the times shown.
const traceTimeFormat = "15:04:05.000"

// logLine is one line of a daemon's log.
type logLine struct {
	At      time.Time `json:"@timestamp"`
	Level   string    `json:"@level"`
	Message string    `json:"@message"`
	VM      string    `json:"vm"`
	Request string    `json:"request"`
	Target  string    `json:"target"`
	Reason  string    `json:"reason"`
	Status  int       `json:"status"`
	Detail  string    `json:"detail"`
	// Fields holds all fields for display.
	Fields map[string]any `json:"-"`
}

// readLogs reads the log files of several daemons.
func readLogs(paths []string) ([]logLine, error) {
	var lines []logLine
	for _, path := range paths {
		more, err := readLog(path)
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

// readLog reads a log file. Text before the first brace of a line is ignored.
func readLog(path string) ([]logLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, &Error{Op: "read log", Kind: proto.KindNotFound, Err: err}
	}
	defer file.Close()
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if line, ok := parseLogLine(scanner.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, &Error{Op: "read log", Kind: proto.KindInvalid, Err: err}
	}
	if len(lines) == 0 {
		return nil, newError("read log", proto.KindInvalid, "%s holds no line of a daemon's log", path)
	}
	return lines, nil
}

func parseLogLine(text []byte) (logLine, bool) {
	var line logLine
	start := bytes.IndexByte(text, '{')
	if start < 0 || json.Unmarshal(text[start:], &line) != nil || line.Message == "" {
		return line, false
	}
	// Unmarshalling into line succeeded, so the text is valid JSON.
	_ = json.Unmarshal(text[start:], &line.Fields)
	return line, true
}

// trace holds what the logs say about one request: its own lines, and those about its targets shortly before.
type trace struct {
	id           string
	requestLines []logLine
	contextLines []logLine
	// restart is the next start of a daemon that handled the request; nil if there is none.
	restart *logLine
	config  configTrace
}

func newTrace(id string, lines []logLine) *trace {
	t := &trace{id: id}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.At.Compare(b.At) })
	targets, vms := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.Request == id {
			t.requestLines = append(t.requestLines, l)
			targets[l.Target] = l.Target != ""
			vms[l.VM] = true
		}
	}
	if len(t.requestLines) == 0 {
		return t
	}
	from, to := t.requestLines[0].At.Add(-contextBefore), t.requestLines[len(t.requestLines)-1].At
	for i := range lines {
		if l := &lines[i]; l.Message == "starting" && vms[l.VM] && l.At.After(to) {
			t.restart = l
			break
		}
	}
	for _, l := range lines {
		if l.Request == "" && vms[l.VM] && (targets[l.Target] || targetWideMessages[l.Message]) && l.At.After(from) && !l.At.After(to) {
			t.contextLines = append(t.contextLines, l)
		}
	}
	t.config = newConfigTrace(&t.requestLines[0], t.outcomeLine(), lines)
	t.contextLines = append(t.contextLines, t.config.storeLines...)
	return t
}

// targetWideMessages are the messages about events that concern targets without naming one.
var targetWideMessages = map[string]bool{
	"availability zone evacuated": true, "availability zone in service again": true, "the store is in a new era": true,
}

// outcomeLine returns the line that logged the outcome of the request or, if there is none, the request's last line.
func (t *trace) outcomeLine() *logLine {
	last := &t.requestLines[len(t.requestLines)-1]
	for i := range t.requestLines {
		l := &t.requestLines[i]
		if strings.HasPrefix(l.Message, "request ") || l.Message == "stream broken off" || l.Message == "caller left" {
			last = l
		}
	}
	return last
}

// describeOutcome describes in one sentence how the request ended and why.
func (t *trace) describeOutcome() string {
	last := t.outcomeLine()
	switch last.Message {
	case "request delivered":
		return "The whole answer was delivered by target " + last.Target + "."
	case "request refused":
		if last.Status == 503 {
			return fmt.Sprintf("Refused as not run: %s.%s%s", last.Reason, t.describeCrashes(), describeDelay(last))
		}
		return fmt.Sprintf("Ended with status %d: %s.%s", last.Status, last.Reason, describeDelay(last))
	case "stream broken off":
		return fmt.Sprintf("The stream broke off: %s.", last.Reason)
	case "caller left":
		return "The caller left before the answer was whole."
	}
	if t.restart != nil {
		return fmt.Sprintf("Its daemon's process died before the request ended: %s started again at %s.", t.restart.VM, t.restart.At.Format(traceTimeFormat))
	}
	return "The log does not say how the request ended; its daemon may have died. The last line is: " + last.Message + "."
}

// describeCrashes describes the crashes of targets for which the request was refused, if any: which target, which VM
// observed it, and how long before.
func (t *trace) describeCrashes() string {
	var descriptions []string
	for i := range t.requestLines {
		l := &t.requestLines[i]
		ends, ok := l.Fields["ends"].([]any)
		if !ok {
			continue
		}
		descriptions = nil
		for _, end := range ends {
			if fields, ok := end.(map[string]any); ok {
				descriptions = append(descriptions, fmt.Sprintf("%v (seen by %v %v before)", fields["run"], fields["by"], fields["age"]))
			}
		}
	}
	if len(descriptions) == 0 {
		return ""
	}
	return " The ends: " + strings.Join(descriptions, ", ") + "."
}

// describeDelay describes where most of the request's time went, if its stages took any: a request that is refused has
// often been delayed long before.
func describeDelay(endLine *logLine) string {
	if len(endLine.stages()) == 0 {
		return ""
	}
	longest := (&attemptLog{endLine: endLine}).longestSpan()
	if longest.took <= 0 {
		return ""
	}
	return fmt.Sprintf(" Of its %s most went into the %s: %s.", endLine.text("took"), longest.name, longest.took)
}

func (t *trace) print(w io.Writer) error {
	all := append(slices.Clone(t.contextLines), t.requestLines...)
	slices.SortStableFunc(all, func(a, b logLine) int { return a.At.Compare(b.At) })
	for _, l := range all {
		if _, err := fmt.Fprintf(w, "%s  %-24s %s%s\n", l.At.Format(traceTimeFormat), l.VM, l.Message, l.formatFields()); err != nil {
			return &Error{Op: "print", Kind: proto.KindUnavailable, Err: err}
		}
	}
	_, err := fmt.Fprintf(w, "\n%s%s\n", t.describeOutcome(), t.config.describeStaleness())
	if err != nil {
		return &Error{Op: "print", Kind: proto.KindUnavailable, Err: err}
	}
	return nil
}

// formatFields formats the remaining fields of a line, sorted by name.
func (l *logLine) formatFields() string {
	var names []string
	for name := range l.Fields {
		if !strings.HasPrefix(name, "@") && name != "vm" && name != "request" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	text := ""
	for _, name := range names {
		text += fmt.Sprintf(" %s=%v", name, l.Fields[name])
	}
	return text
}
