package relay

import (
	"cmp"
	"slices"
	"time"

	"emberlead/proto"
)

// crashesLogged bounds the ends that one line of the log names.
const maxLoggedEnds = 16

// Evidence is why a request is refused.
type Evidence struct {
	// Ends are those that count, oldest first.
	Ends []EvidenceEnd
	// ComeBack is how long the request is refused, if no further end comes to be known.
	RetryAfter time.Duration
}

// EvidenceEnd is one target's end as the log tells it.
type EvidenceEnd struct {
	Run      proto.RunName `json:"run"`
	Reporter proto.VM      `json:"by"`
	Age      string        `json:"age"`
}

func (r crashRecord) evidence(now time.Time) Evidence {
	var e Evidence
	var times []time.Time
	for run, c := range r {
		if c.answered {
			continue
		}
		times = append(times, c.at)
		e.Ends = append(e.Ends, EvidenceEnd{Run: run, Reporter: c.reporter, Age: formatDuration(now.Sub(c.at))})
	}
	slices.SortFunc(times, time.Time.Compare)
	slices.SortFunc(e.Ends, func(a, b EvidenceEnd) int {
		return cmp.Or(r[a.Run].at.Compare(r[b.Run].at), cmp.Compare(a.Run, b.Run))
	})
	// It is run again once fewer ends than the limit are left.
	last := times[len(times)-crashLimit]
	e.RetryAfter = max(minRetryWait, last.Add(crashTTL).Sub(now))
	return e
}

// learntEnd is one end as the log tells it.
type mergedEnd struct {
	EvidenceEnd
	// Requests is how many were at work there, and Answered says that they have been answered since.
	Requests int  `json:"requests"`
	Answered bool `json:"answered,omitempty"`
}

// noteLearnt logs what is known now that was not before: one line for all ends that came together, since a wave of ends
// brings some hundred.
func (c *CrashTracker) logMerged(fresh proto.TargetEnds, refused []proto.RequestDigest, from proto.VM) {
	var learnt []mergedEnd
	for _, end := range fresh.Ends[:min(maxLoggedEnds, len(fresh.Ends))] {
		learnt = append(learnt, mergedEnd{EvidenceEnd{end.Run, end.Reporter, formatDuration(end.Age)}, len(end.Requests), end.Answered})
	}
	c.log.Info("requests were at work when targets ended", "from", from, "count", len(fresh.Ends), "ends", learnt)
	for _, request := range refused {
		evidence, _ := c.Blocks(request)
		c.log.Warn("a request is refused from now on, since targets end that run it", "digest", request.String(), "ends", evidence.Ends, "for", formatDuration(evidence.RetryAfter), "from", from)
	}
}

// CrashCounts tell how much is remembered.
type CrashCounts struct {
	// Ends is the number of ends of targets under requests, Suspected that of requests with ends that count, and
	// Refused that of requests that are run no more.
	Ends      int   `json:"ends"`
	Suspected int64 `json:"suspected"`
	Refused   int64 `json:"refused"`
}

// Counts returns what is remembered now.
func (c *CrashTracker) Counts() CrashCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return CrashCounts{Ends: c.size, Suspected: c.suspected.Load(), Refused: c.refused.Load()}
}
