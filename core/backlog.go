package core

import "time"

// backlog tracks the work committed to a pool by the latest time at which it must start. Admission checks whether all committed work
// could still start in time if tickets run in that order, so a burst that the deadlines can absorb is admitted. The more of the pool a
// request needs, the smaller the fraction of the remaining time that requests of its kind may fill. Under overload the pool therefore
// admits the requests that need least of it, which maximizes the number delivered in time. Work counts from admission on, including
// during the stages before this pool, so that the limit reacts without delay and does not oscillate.
type backlog struct {
	buckets     [bucketCount]float64 // seconds of slot time, by bucket of the latest start
	firstBucket int64                // number of the bucket at index 0
	running     float64              // seconds of slot time, of the attempts in progress
	meanWork    float64              // seconds of slot time, of an average request
	share       float64              // fraction of the pool available to this daemon
	updated     time.Time
}

const (
	bucketCount   = 128
	bucketWidth   = 125 * time.Millisecond
	meanWeight    = 0.02
	shareWeight   = 0.05
	shareInterval = 50 * time.Millisecond
	// meanFill is the fraction of the remaining time that requests of average work may fill.
	meanFill = 0.6
	maxFill  = 0.9
	// These bounds limit the effect of a workspace's usage relative to its fair share on the fill fraction.
	minRelativeUse = 0.5
	maxRelativeUse = 4.0
	// runningRemainder is the average fraction of the work of running attempts that is still to be done.
	runningRemainder = 0.5
)

// commitment is the work that a pool counts for one stage of one request.
type commitment struct {
	bucket int64
	work   float64
}

func bucketOf(at time.Time) int64 { return at.UnixNano() / int64(bucketWidth) }

// advance moves the window to now. Work whose latest start has passed counts as due now.
func (b *backlog) advance(now time.Time) {
	current := bucketOf(now)
	passed := min(current-b.firstBucket, bucketCount)
	if passed <= 0 {
		return
	}
	due := 0.0
	for i := range passed {
		due += b.buckets[i]
	}
	copy(b.buckets[:], b.buckets[passed:])
	clear(b.buckets[bucketCount-passed:])
	b.buckets[0] += due
	b.firstBucket = current
}

func (b *backlog) index(bucket int64) int64 {
	return min(bucketCount-1, max(0, bucket-b.firstBucket))
}

func (b *backlog) commit(now, latest time.Time, work float64) commitment {
	b.advance(now)
	c := commitment{bucket: bucketOf(latest), work: work}
	b.buckets[b.index(c.bucket)] += work
	if b.meanWork == 0 {
		b.meanWork = work
	}
	b.meanWork += meanWeight * (work - b.meanWork)
	return c
}

// release removes a commitment once its work has started or is no longer wanted.
func (b *backlog) release(now time.Time, c commitment) {
	b.advance(now)
	i := b.index(c.bucket)
	b.buckets[i] = max(0, b.buckets[i]-c.work)
}

func (b *backlog) addRunning(work float64) { b.running += work }

func (b *backlog) removeRunning(work float64) { b.running = max(0, b.running-work) }

// updateShare tracks the fraction of the requests at the pool's targets that belong to this daemon.
func (b *backlog) updateShare(now time.Time, own, all float64) {
	if now.Sub(b.updated) < shareInterval {
		return
	}
	b.updated = now
	share := (own + 1) / (all + 2)
	if b.share == 0 {
		b.share = share
	}
	b.share += shareWeight * (share - b.share)
}

// fillFraction returns the fraction of the remaining time that requests of the given work may fill.
func (b *backlog) fillFraction(work, relativeUse float64) float64 {
	relativeUse = min(maxRelativeUse, max(minRelativeUse, relativeUse))
	return min(maxFill, meanFill*b.meanWork/(work*relativeUse))
}

// admits reports whether all committed work and one more request can start in time.
func (b *backlog) admits(now, latest time.Time, slots, work, relativeUse float64) bool {
	if work <= 0 || b.meanWork <= 0 || b.share <= 0 {
		return true
	}
	b.advance(now)
	rate := slots * b.share * b.fillFraction(work, relativeUse)
	sum := work + runningRemainder*b.running
	ownBucket := b.index(bucketOf(latest))
	// Idle slots accept a request regardless of the estimate.
	if b.running+work <= slots*b.share*work && b.empty() {
		return true
	}
	for i := range int64(bucketCount) {
		sum += b.buckets[i]
		if i < ownBucket {
			continue
		}
		ahead := time.Duration(b.firstBucket+i+1)*bucketWidth - time.Duration(now.UnixNano())
		if sum > rate*(ahead+time.Duration(work*float64(time.Second))).Seconds() && b.buckets[i]+b.increment(i, ownBucket) > 0 {
			return false
		}
	}
	return true
}

// increment returns 1 for the bucket of the request itself and 0 for all others.
func (b *backlog) increment(i, ownBucket int64) float64 {
	if i == ownBucket {
		return 1
	}
	return 0
}

func (b *backlog) empty() bool {
	for _, work := range b.buckets {
		if work > 0 {
			return false
		}
	}
	return true
}
