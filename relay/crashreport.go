package relay

import (
	"cmp"
	"slices"
	"time"

	"emberlead/proto"
)

// maxLoggedEnds limits the number of ends in one log line.
const maxLoggedEnds = 16

// Evidence is the reason why a request is blocked.
type Evidence struct {
	// Ends are the ends that count against the request, oldest first.
	Ends []EvidenceEnd
	// RetryAfter is how long the request stays blocked if no further end becomes known.
	RetryAfter time.Duration
}

// EvidenceEnd is the end of one target as it is logged.
type EvidenceEnd struct {
	Run      proto.RunName `json:"run"`
	Reporter proto.VM      `json:"by"`
	Age      string        `json:"age"`
}

func (r crashRecord) evidence(request proto.RequestDigest, now time.Time) Evidence {
	var e Evidence
	var times []time.Time
	for run, c := range r {
		if c.answered || run.IsProbe() {
			continue
		}
		times = append(times, c.at)
		e.Ends = append(e.Ends, EvidenceEnd{Run: run, Reporter: c.reporter, Age: formatDuration(now.Sub(c.at))})
	}
	slices.SortFunc(times, time.Time.Compare)
	slices.SortFunc(e.Ends, func(a, b EvidenceEnd) int {
		return cmp.Or(r[a.Run].at.Compare(r[b.Run].at), cmp.Compare(a.Run, b.Run))
	})
	// The request is run again once the number of ends drops below the limit.
	last := times[len(times)-crashLimit]
	e.RetryAfter = max(minRetryWait, last.Add(ttlOf(request)).Sub(now))
	if next, left := r.nextProbe(); left && request.IsPart() {
		e.RetryAfter = max(minRetryWait, next.Sub(now))
	}
	return e
}

// mergedEnd is a newly learned end as it is logged.
type mergedEnd struct {
	EvidenceEnd
	// Requests is the number of requests that were running there. Answered is set if they have been answered since.
	Requests int  `json:"requests"`
	Answered bool `json:"answered,omitempty"`
}

// logMerged logs newly learned ends. It writes one line for all ends that arrived together, because a wave brings hundreds of them.
func (c *CrashTracker) logMerged(newEnds proto.TargetEnds, blocked []proto.RequestDigest, from proto.VM) {
	var entries []mergedEnd
	for _, end := range newEnds.Ends[:min(maxLoggedEnds, len(newEnds.Ends))] {
		entries = append(entries, mergedEnd{EvidenceEnd{end.Run, end.Reporter, formatDuration(end.Age)}, len(end.Requests), end.Answered})
	}
	c.log.Info("requests were at work when targets ended", "from", from, "count", len(newEnds.Ends), "ends", entries)
	for _, request := range blocked {
		evidence, stillBlocked := c.Blocks(request)
		if request.IsPart() {
			c.log.Warn("requests with a part of prompts are refused from now on, since targets end that begin to answer on it", "part", request.String(), "refused", stillBlocked, "ends", evidence.Ends, "from", from)
			continue
		}
		c.log.Warn("a request is refused from now on, since targets end that run it", "digest", request.String(), "ends", evidence.Ends, "for", formatDuration(evidence.RetryAfter), "from", from)
	}
}

// CrashStats reports the size of the tracker.
type CrashStats struct {
	// Ends is the number of pairs of request and ended target, Suspected the number of requests with ends that count
	// against them, and Refused the number of blocked requests.
	Ends      int   `json:"ends"`
	Suspected int64 `json:"suspected"`
	Refused   int64 `json:"refused"`
}

// Stats returns the current size of the tracker.
func (c *CrashTracker) Stats() CrashStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return CrashStats{Ends: c.size, Suspected: c.suspected.Load(), Refused: c.blocked.Load()}
}
