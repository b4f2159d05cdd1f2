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

// requestResult is the outcome of one request according to the logs. The attempts of a caller that retries are one request.
type requestResult struct {
	startedAt time.Time
	goal      time.Duration
	// size is the size of the request: the tokens of its prompt plus answerTokenWeight times its maximum answer tokens.
	size    float64
	outcome requestOutcome
	reason  string
}

// answerTokenWeight is the weight of an answer token relative to a prompt token in the size of a request: engines
// generate tokens one after another but read many prompt tokens at a time.
const answerTokenWeight = 10

// heldFraction is the fraction of a request's available time after which a refusal counts as one that was held first.
const heldFraction = 0.25

// attemptLog holds the log lines of one attempt of a caller.
type attemptLog struct {
	id         string
	lines      []*logLine
	acceptLine *logLine
	endLine    *logLine
}

// requestResults returns the outcomes of all requests in the logs of all daemons, oldest first, and the numbers of
// attempts that were refused before their routes were known, by reason.
func requestResults(lines []logLine) (results []requestResult, unrouted map[string]int) {
	attempts := map[string]*attemptLog{}
	var order []*attemptLog
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.At.Compare(b.At) })
	for i := range lines {
		l := &lines[i]
		if l.Request == "" {
			continue
		}
		attempt := attempts[l.Request]
		if attempt == nil {
			attempt = &attemptLog{id: l.Request}
			attempts[l.Request] = attempt
			order = append(order, attempt)
		}
		attempt.add(l)
	}
	return mergeRetries(order), unroutedRefusals(order)
}

// unroutedRefusals counts, by reason, the attempts that were refused before their route was known and whose worth is
// therefore unknown. Each attempt of a caller that retries counts.
func unroutedRefusals(attempts []*attemptLog) map[string]int {
	reasons := map[string]int{}
	for _, attempt := range attempts {
		if attempt.acceptLine == nil && attempt.endLine != nil && attempt.endLine.Status == http.StatusServiceUnavailable {
			reasons[formatRefusal(attempt.endLine)]++
		}
	}
	return reasons
}

func (t *attemptLog) add(l *logLine) {
	t.lines = append(t.lines, l)
	switch l.Message {
	case "request accepted":
		t.acceptLine = l
	case "request delivered", "request refused", "stream broken off", "caller left":
		t.endLine = l
	}
}

// mergeRetries merges an attempt into the preceding refused one if it has the same prompt and route and started while
// the caller of the refused one was still waiting.
func mergeRetries(attempts []*attemptLog) []requestResult {
	type pending struct {
		index int
		until time.Time
	}
	var results []requestResult
	pendingRetries := map[string]pending{}
	for _, attempt := range attempts {
		result, ok := attempt.result()
		if !ok {
			continue
		}
		key := attempt.callerKey()
		if previous, ok := pendingRetries[key]; ok && key != "" && !result.startedAt.After(previous.until) {
			delete(pendingRetries, key)
			results[previous.index] = results[previous.index].mergeRetry(result)
			continue
		}
		results = append(results, result)
		if result.outcome == outcomeLost && key != "" {
			pendingRetries[key] = pending{len(results) - 1, result.startedAt.Add(attempt.time("left"))}
		}
	}
	slices.SortStableFunc(results, func(a, b requestResult) int { return a.startedAt.Compare(b.startedAt) })
	return results
}

// mergeRetry returns the outcome of a refused request combined with that of the next attempt.
func (e requestResult) mergeRetry(next requestResult) requestResult {
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

// callerKey returns a key that identifies a request by what its caller sent; empty if the log does not say.
func (t *attemptLog) callerKey() string {
	if t.acceptLine == nil || t.acceptLine.text("prompt") == "" {
		return ""
	}
	return t.acceptLine.text("route") + "/" + t.acceptLine.text("prompt")
}

// time returns a duration from the line that logged the acceptance; 0 if there is none.
func (t *attemptLog) time(name string) time.Duration {
	if t.acceptLine == nil {
		return 0
	}
	return t.acceptLine.duration(name)
}

// result returns the outcome of an attempt; false if it was not accepted, so that no answer was owed.
func (t *attemptLog) result() (requestResult, bool) {
	if t.acceptLine == nil {
		return requestResult{}, false
	}
	e := requestResult{startedAt: t.acceptLine.At, goal: t.time("due"), outcome: outcomeLost, reason: "its daemon died"}
	e.size = t.acceptLine.number("promptTokens") + answerTokenWeight*t.acceptLine.number("mostTokens")
	if t.endLine == nil {
		return e, true
	}
	if goal := t.endLine.duration("goal"); goal > 0 {
		e.goal = goal
	}
	switch t.endLine.Message {
	case "request delivered":
		e.outcome = outcomeLate
		if t.endLine.Fields["inTime"] == true {
			e.outcome = outcomeInTime
		}
		e.reason = "late: " + t.longestSpanName()
	case "caller left":
		e.outcome = outcomeNotOwed
		if t.endLine.duration("took") >= t.time("left")*9/10 {
			e.outcome, e.reason = outcomeLost, "held until its caller's time was over: "+t.longestSpanName()
		}
	case "stream broken off":
		e.reason = "broken off: " + normalizeReason(t.endLine.Reason)
	case "request refused":
		e.reason = t.refusalReason()
	}
	return e, true
}

func formatRefusal(endLine *logLine) string {
	return fmt.Sprintf("refused with %d: %s", endLine.Status, normalizeReason(endLine.Reason))
}

func (t *attemptLog) refusalReason() string {
	reason := formatRefusal(t.endLine)
	if took := t.endLine.duration("took"); t.endLine.Status == 503 && took > time.Duration(heldFraction*float64(t.time("left"))) {
		return "held and then " + reason + " (" + t.longestSpanName() + ")"
	}
	return reason
}

// addressPattern matches an address with its port, or two of them with an arrow in between.
var addressPattern = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+:\d+(->\d+\.\d+\.\d+\.\d+:\d+)?`)

// normalizeReason removes the varying parts of a reason, such as names of pools and addresses.
func normalizeReason(reason string) string {
	if stage, rest, ok := strings.Cut(reason, ": "); ok && strings.HasPrefix(stage, "stage ") {
		reason = "a stage: " + rest
	}
	return addressPattern.ReplaceAllString(reason, "ADDRESS")
}

// timeSpan is one of the intervals of a request's time.
type timeSpan struct {
	name string
	took time.Duration
}

// longestSpanName returns the name of the longest interval of a request up to its first event.
func (t *attemptLog) longestSpanName() string { return t.longestSpan().name }

// longestSpan returns the longest interval of a request up to its first event.
func (t *attemptLog) longestSpan() timeSpan {
	lost := false
	var spans []timeSpan
	for _, s := range t.endLine.stages() {
		queued, execution := s.duration("queued"), s.duration("made")
		lost = lost || s.fate == fateLost
		spans = append(
			spans,
			timeSpan{fmt.Sprintf("queue of stage %d", s.stage), queued},
			timeSpan{fmt.Sprintf("call of stage %d", s.stage), execution},
			timeSpan{"asking for a stage", s.duration("took") - queued - execution},
		)
	}
	staged, firstEvent := t.endLine.duration("staged"), t.endLine.duration("first")
	switch {
	case lost:
		return timeSpan{"inputs made anew", t.endLine.duration("took")}
	case t.delayedByPause():
		return timeSpan{"a pause within the stream", t.endLine.duration("pause")}
	case staged > 0 && firstEvent > staged && t.endLine.number("sent") > 1:
		spans = append(spans, timeSpan{"several attempts", firstEvent - staged})
	case staged > 0 && firstEvent > staged:
		spans = append(spans, timeSpan{"the target's first event", firstEvent - staged})
	}
	if len(spans) == 0 {
		return timeSpan{"one attempt", t.endLine.duration("took")}
	}
	return slices.MaxFunc(spans, func(a, b timeSpan) int { return cmp.Compare(a.took, b.took) })
}

// delayedByPause reports whether a stream was late only because of a pause between its events.
func (t *attemptLog) delayedByPause() bool {
	return t.endLine.Message == "request delivered" && t.endLine.Fields["inTime"] == false &&
		t.endLine.duration("pause") > 0 && t.endLine.duration("first") <= t.endLine.duration("goal")
}

// fateLost is the fate that the log gives to a stage whose inputs were lost.
const fateLost = "lost"

// stageLog is the log entry of one stage of a request.
type stageLog struct {
	stage  int
	fate   string
	fields map[string]any
}

func (s *stageLog) duration(name string) time.Duration { return durationOf(s.fields[name]) }

func (l *logLine) stages() []stageLog {
	list, _ := l.Fields["stages"].([]any)
	var stages []stageLog
	for _, entry := range list {
		fields, ok := entry.(map[string]any)
		if !ok {
			continue
		}
		number, _ := fields["stage"].(float64)
		fate, _ := fields["fate"].(string)
		stages = append(stages, stageLog{stage: int(number), fate: fate, fields: fields})
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
