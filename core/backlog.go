package core

import "time"

// backlog is the work that a pool has been promised, by when it has to start at the latest. Admission asks
// whether everything promised could still start in time if tickets go in that order, so a burst that the
// deadlines can absorb is taken. The more of the pool a request needs, the smaller the part of the time ahead
// that such requests may fill: under overload the pool then takes those that need least of it, which is what
// delivers most of them in time. Work counts from the admission on, through the stages before, so that there
// is no delay for the limit to swing on.
type backlog struct {
	buckets     [bucketCount]float64 // seconds of slot time, by step of the latest start
	firstBucket int64                // number of the first step
	running     float64              // seconds of slot time, of attempts in progress
	meanWork    float64              // seconds of slot time, of a request on average
	share       float64              // part of the pool that this daemon gets
	updated     time.Time
}

const (
	bucketCount   = 128
	bucketWidth   = 125 * time.Millisecond
	meanWeight    = 0.02
	shareWeight   = 0.05
	shareInterval = 50 * time.Millisecond
	// meanFill is the part of the time ahead that requests of average work may fill.
	meanFill = 0.6
	maxFill  = 0.9
	// The part follows a workspace's use relative to its share between these bounds.
	minRelativeUse = 0.5
	maxRelativeUse = 4.0
	// runningRemainder is the part of the attempts in progress that is still to be done on average.
	runningRemainder = 0.5
)

// commitment is what a pool counts for one stage of one request.
type commitment struct {
	bucket int64
	work   float64
}

func bucketOf(at time.Time) int64 { return at.UnixNano() / int64(bucketWidth) }

// advance moves the window to now; work whose latest start has passed counts as due now.
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

// release takes off what was promised, once it has begun or is no longer wanted.
func (b *backlog) release(now time.Time, c commitment) {
	b.advance(now)
	i := b.index(c.bucket)
	b.buckets[i] = max(0, b.buckets[i]-c.work)
}

func (b *backlog) addRunning(work float64) { b.running += work }

func (b *backlog) removeRunning(work float64) { b.running = max(0, b.running-work) }

// updateShare follows the part of the requests at the pool's targets that are this daemon's own.
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

// fillFraction is the part of the time ahead that requests of so much work may fill.
func (b *backlog) fillFraction(work, relative float64) float64 {
	relative = min(maxRelativeUse, max(minRelativeUse, relative))
	return min(maxFill, meanFill*b.meanWork/(work*relative))
}

// admits tells whether everything promised and one request more can start in time.
func (b *backlog) admits(now, latest time.Time, slots, work, relative float64) bool {
	if work <= 0 || b.meanWork <= 0 || b.share <= 0 {
		return true
	}
	b.advance(now)
	rate := slots * b.share * b.fillFraction(work, relative)
	sum := work + runningRemainder*b.running
	ownBucket := b.index(bucketOf(latest))
	// Idle slots take a request whatever the estimate says.
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

// increment marks the step that the request itself adds to.
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
