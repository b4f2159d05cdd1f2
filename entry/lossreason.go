package entry

import (
	"cmp"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"
)

// requestOutcome is the outcome of a request as its caller saw it.
type requestOutcome uint8

const (
	outcomeInTime requestOutcome = iota
	outcomeLate
	// outcomeLost marks requests that got no answer, or a failure.
	outcomeLost
	// outcomeNotOwed marks requests that could not be answered: their caller left or was not allowed to send them.
	outcomeNotOwed
)

// requestEnd is the outcome of one request according to the logs. The attempts of a caller that retries are one
// request.
type requestEnd struct {
	first time.Time
	goal  time.Duration
	// tokens is the size of the request: the tokens of its prompt plus answerToken times its maximum answer tokens.
	tokens  float64
	outcome requestOutcome
	reason  string
}

// answerToken is the weight of an answer token relative to a prompt token in the size of a request: engines generate
// tokens one after another but read many prompt tokens at a time.
const answerToken = 10

// heldFrom is the fraction of a request's available time after which a refusal counts as one that was held first.
const heldFrom = 0.25

// attemptLog holds the log lines of one attempt of a caller.
type attemptLog struct {
	id     string
	lines  []*logLine
	accept *logLine
	end    *logLine
}

// requestEnds returns the outcomes of all requests in the logs of all daemons, oldest first, and the numbers of
// attempts that were refused before their routes were known, by reason.
func requestEnds(lines []logLine) (ends []requestEnd, unrouted map[string]int) {
	tries := map[string]*attemptLog{}
	var order []*attemptLog
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.At.Compare(b.At) })
	for i := range lines {
		l := &lines[i]
		if l.Request == "" {
			continue
		}
		t := tries[l.Request]
		if t == nil {
			t = &attemptLog{id: l.Request}
			tries[l.Request] = t
			order = append(order, t)
		}
		t.add(l)
	}
	return join(order), unroutedRefusals(order)
}

// unroutedRefusals counts, by reason, the attempts that were refused before their route was known and whose worth is
// therefore unknown. Each attempt of a caller that retries counts.
func unroutedRefusals(tries []*attemptLog) map[string]int {
	reasons := map[string]int{}
	for _, t := range tries {
		if t.accept == nil && t.end != nil && t.end.Status == http.StatusServiceUnavailable {
			reasons[refusalOf(t.end)]++
		}
	}
	return reasons
}

func (t *attemptLog) add(l *logLine) {
	t.lines = append(t.lines, l)
	switch l.Message {
	case "request accepted":
		t.accept = l
	case "request delivered", "request refused", "stream broken off", "caller left":
		t.end = l
	}
}

// join merges an attempt into the preceding refused one if it has the same prompt and route and started while the
// caller of the refused one was still waiting.
func join(tries []*attemptLog) []requestEnd {
	type pending struct {
		at    int
		until time.Time
	}
	var ends []requestEnd
	refused := map[string]pending{}
	for _, t := range tries {
		end, ok := t.judge()
		if !ok {
			continue
		}
		key := t.caller()
		if before, ok := refused[key]; ok && key != "" && !end.first.After(before.until) {
			delete(refused, key)
			ends[before.at] = ends[before.at].retried(end)
			continue
		}
		ends = append(ends, end)
		if end.outcome == outcomeLost && key != "" {
			refused[key] = pending{len(ends) - 1, end.first.Add(t.time("left"))}
		}
	}
	slices.SortStableFunc(ends, func(a, b requestEnd) int { return a.first.Compare(b.first) })
	return ends
}

// retried returns the outcome of a refused request combined with that of the next attempt.
func (e requestEnd) retried(next requestEnd) requestEnd {
	switch next.outcome {
	case outcomeLost:
		e.reason += ", and again"
	case outcomeNotOwed:
	default:
		e.outcome = outcomeLate
		e.reason += ", served later"
	}
	return e
}

// caller returns a key that identifies a request by what its caller sent; empty if the log does not say.
func (t *attemptLog) caller() string {
	if t.accept == nil || t.accept.text("prompt") == "" {
		return ""
	}
	return t.accept.text("route") + "/" + t.accept.text("prompt")
}

// time returns a duration from the line that logged the acceptance; 0 if there is none.
func (t *attemptLog) time(name string) time.Duration {
	if t.accept == nil {
		return 0
	}
	return t.accept.duration(name)
}

// judge returns the outcome of an attempt; false if it was not accepted, so that no answer was owed.
func (t *attemptLog) judge() (requestEnd, bool) {
	if t.accept == nil {
		return requestEnd{}, false
	}
	e := requestEnd{first: t.accept.At, goal: t.time("due"), outcome: outcomeLost, reason: "its daemon died"}
	e.tokens = t.accept.number("promptTokens") + answerToken*t.accept.number("mostTokens")
	if t.end == nil {
		return e, true
	}
	if goal := t.end.duration("goal"); goal > 0 {
		e.goal = goal
	}
	switch t.end.Message {
	case "request delivered":
		e.outcome = outcomeLate
		if t.end.Fields["inTime"] == true {
			e.outcome = outcomeInTime
		}
		e.reason = "late: " + t.where()
	case "caller left":
		e.outcome = outcomeNotOwed
		if t.end.duration("took") >= t.time("left")*9/10 {
			e.outcome, e.reason = outcomeLost, "held until its caller's time was over: "+t.where()
		}
	case "stream broken off":
		e.reason = "broken off: " + plain(t.end.Reason)
	case "request refused":
		e.reason = t.refusal()
	}
	return e, true
}

func refusalOf(end *logLine) string {
	return fmt.Sprintf("refused with %d: %s", end.Status, plain(end.Reason))
}

func (t *attemptLog) refusal() string {
	reason := refusalOf(t.end)
	if took := t.end.duration("took"); t.end.Status == 503 && took > time.Duration(heldFrom*float64(t.time("left"))) {
		return "held and then " + reason + " (" + t.where() + ")"
	}
	return reason
}

// anAddress matches an address with its port, or two of them with an arrow in between.
var anAddress = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+:\d+(->\d+\.\d+\.\d+\.\d+:\d+)?`)

// plain removes the varying parts of a reason, such as names of pools and addresses.
func plain(reason string) string {
	if stage, rest, ok := strings.Cut(reason, ": "); ok && strings.HasPrefix(stage, "stage ") {
		reason = "a stage: " + rest
	}
	return anAddress.ReplaceAllString(reason, "ADDRESS")
}

// part is one of the intervals of a request's time.
type part struct {
	name string
	took time.Duration
}

// where returns the name of the longest interval of a request up to its first event.
func (t *attemptLog) where() string { return t.longest().name }

// longest returns the longest interval of a request up to its first event.
func (t *attemptLog) longest() part {
	lost := false
	var parts []part
	for _, s := range t.end.stages() {
		queued, made := s.duration("queued"), s.duration("made")
		lost = lost || s.fate == fateLost
		parts = append(
			parts,
			part{fmt.Sprintf("queue of stage %d", s.stage), queued},
			part{fmt.Sprintf("call of stage %d", s.stage), made},
			part{"asking for a stage", s.duration("took") - queued - made},
		)
	}
	staged, first := t.end.duration("staged"), t.end.duration("first")
	switch {
	case lost:
		return part{"inputs made anew", t.end.duration("took")}
	case t.paused():
		return part{"a pause within the stream", t.end.duration("pause")}
	case staged > 0 && first > staged && t.end.number("sent") > 1:
		parts = append(parts, part{"several attempts", first - staged})
	case staged > 0 && first > staged:
		parts = append(parts, part{"the target's first event", first - staged})
	}
	if len(parts) == 0 {
		return part{"one attempt", t.end.duration("took")}
	}
	return slices.MaxFunc(parts, func(a, b part) int { return cmp.Compare(a.took, b.took) })
}

// paused reports whether a stream was late only because of a pause between its events.
func (t *attemptLog) paused() bool {
	return t.end.Message == "request delivered" && t.end.Fields["inTime"] == false &&
		t.end.duration("pause") > 0 && t.end.duration("first") <= t.end.duration("goal")
}

// fateLost is the fate that the log gives to a stage whose inputs were lost.
const fateLost = "lost"

// stageLine is the log entry of one stage of a request.
type stageLine struct {
	stage  int
	fate   string
	fields map[string]any
}

func (s *stageLine) duration(name string) time.Duration { return durationOf(s.fields[name]) }

func (l *logLine) stages() []stageLine {
	list, _ := l.Fields["stages"].([]any)
	var stages []stageLine
	for _, entry := range list {
		fields, ok := entry.(map[string]any)
		if !ok {
			continue
		}
		number, _ := fields["stage"].(float64)
		fate, _ := fields["fate"].(string)
		stages = append(stages, stageLine{stage: int(number), fate: fate, fields: fields})
	}
	return stages
}

func (l *logLine) text(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

func (l *logLine) number(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

func (l *logLine) duration(name string) time.Duration { return durationOf(l.Fields[name]) }

// durationOf parses a duration from the log; a missing or invalid one is 0.
func durationOf(value any) time.Duration {
	text, _ := value.(string)
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return d
}
