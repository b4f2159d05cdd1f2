package relay

import (
	"slices"
	"time"

	"emberlead/proto"
)

const (
	// soundTime is how long a target must live after it has begun to answer before the parts of the prompt count as sound:
	// one that ends because of a part does so sooner.
	soundTime = time.Second
	// partWaveLimit is the number of waves of ends after which a part is refused although it was sound lately, and
	// partWaveGap the time without an end between two waves. A part that most prompts share has ends in each wave.
	partWaveLimit = 3
	partWaveGap   = time.Second
	// partTTL is how long the end of a target counts against a part. Until other software serves, the part stays as it is.
	partTTL = 24 * time.Hour
)

// provenEnds is the number of ends from which a part is hardly sound.
const provenEnds = 5

// probePauses are the pauses after the last end or probe after which one more request with a refused part is run, to find
// out whether it is sound, and provenPauses those from provenEnds ends on.
var (
	probePauses  = []time.Duration{time.Second, 5 * time.Second, 20 * time.Second}
	provenPauses = []time.Duration{time.Minute, 10 * time.Minute, time.Hour}
)

// ttlOf returns how long the end of a target counts against a request or part.
func ttlOf(request proto.RequestDigest) time.Duration {
	if request.IsPart() {
		return partTTL
	}
	return crashTTL
}

// waves returns the number of groups of moments without a pause of partWaveGap or more in them.
func waves(moments []time.Time) int {
	slices.SortFunc(moments, time.Time.Compare)
	n := 0
	for i, at := range moments {
		if i == 0 || at.Sub(moments[i-1]) >= partWaveGap {
			n++
		}
	}
	return n
}

// unexplainedEnds returns how many ends count against a request or part, without those that another one explains better.
// The lock must be held.
func (c *CrashTracker) unexplainedEnds(request proto.RequestDigest) int {
	record := c.requests[request]
	own := record.countingEnds()
	if own < crashLimit {
		return own
	}
	n := 0
	for run, e := range record {
		if !e.answered && !run.IsProbe() && !c.explained(request, own, run) {
			n++
		}
	}
	return n
}

// explained reports whether the end of a run is explained by another of its suspects than a request with a number of ends:
// by one that is refused and has more ends or, with as many, is the request and not a part of it. The lock must be held.
func (c *CrashTracker) explained(request proto.RequestDigest, ends int, run proto.RunName) bool {
	for _, other := range c.suspects[run] {
		record := c.requests[other]
		if other == request || record[run].answered {
			continue
		}
		n := record.countingEnds()
		if n >= crashLimit && (n > ends || n == ends && request.IsPart() && !other.IsPart()) {
			return true
		}
	}
	return false
}

// nextProbe returns when a request may run as a probe, or false if as many as allowed were not sound.
func (r crashRecord) nextProbe() (time.Time, bool) {
	var last time.Time
	probes := 0
	for run, e := range r {
		if run.IsProbe() && !e.answered {
			probes++
		}
		if (run.IsProbe() || !e.answered) && e.at.After(last) {
			last = e.at
		}
	}
	pauses := probePauses
	if r.countingEnds() >= provenEnds {
		pauses = provenPauses
	}
	if probes >= len(pauses) {
		return time.Time{}, false
	}
	return last.Add(pauses[probes]), true
}

// MayProbe reports whether a request with a refused part may run as a probe now.
func (c *CrashTracker) MayProbe(part proto.RequestDigest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	next, left := c.requests[part].nextProbe()
	return left && !c.clock.Now().Before(next)
}

// StartProbe counts a request with a refused part as a probe at all daemons, and returns the name of the probe.
func (c *CrashTracker) StartProbe(part proto.RequestDigest) proto.RunName {
	c.mu.Lock()
	probes := 0
	for run := range c.requests[part] {
		if run.IsProbe() {
			probes++
		}
	}
	c.mu.Unlock()
	name := proto.ProbeName(probes + 1)
	c.mergeProbe(part, name, false)
	return name
}

// CancelProbe makes a probe not count that no target ran.
func (c *CrashTracker) CancelProbe(part proto.RequestDigest, name proto.RunName) {
	c.mergeProbe(part, name, true)
}

func (c *CrashTracker) mergeProbe(part proto.RequestDigest, name proto.RunName, notRun bool) {
	probe := proto.TargetEnd{Run: name, Reporter: c.self, Requests: []proto.RequestDigest{part}, Answered: notRun}
	c.Merge(proto.TargetEnds{Ends: []proto.TargetEnd{probe}}, c.self)
}

// partsBlocked returns a channel that is closed when requests with another part are refused.
func (c *CrashTracker) partsBlocked() <-chan struct{} {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partBlocked
}

// signalPartsBlocked closes the channel if a part is among those that are refused from now on.
func (c *CrashTracker) signalPartsBlocked(blocked []proto.RequestDigest) {
	if !slices.ContainsFunc(blocked, proto.RequestDigest.IsPart) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.partBlocked)
	c.partBlocked = make(chan struct{})
}
