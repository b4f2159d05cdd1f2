package relay

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"emberlead/proto"
)

// refusalKind is the kind of reason for which a request is refused as not run. The set is fixed, so that the statistics
// by kind are bounded.
type refusalKind uint8

const (
	// refusedOther is the kind of reasons that have none of their own.
	refusedOther refusalKind = iota
	// refusedEnginesBusy means that admission left no room at the engines of the pool.
	refusedEnginesBusy
	// refusedStageQueue means that the queue of a stage is too long or leaves no time for the request.
	refusedStageQueue
	// refusedStageLate means that the time for a stage, or for all of them, was over before they were done.
	refusedStageLate
	// refusedInputsExpired means that results of earlier stages no longer exist.
	refusedInputsExpired
	// refusedCallerLeaving means that the caller would have left before the first event.
	refusedCallerLeaving
	// refusedNoTarget means that no target of a pool may get the request.
	refusedNoTarget
	// refusedLimits means that targets are at their capacity or limits, cold, in backoff, or refused the request.
	refusedLimits
	// refusedStopping means that the daemon stops before the request could end.
	refusedStopping
	// refusedNoConfiguration means that the daemon knows no configuration, or none with the pool.
	refusedNoConfiguration
	// refusedTooManyOpen means that the daemon is at its own limits: of open requests, or of buffered answers.
	refusedTooManyOpen
	// refusedStreamUnknown means that it is unknown at which software version the stream began.
	refusedStreamUnknown
	// refusedVersionGone means that no target of the version serves at which the stream began.
	refusedVersionGone
	// refusedOutdated means that the route or the key is unknown, while a newer configuration is on its way.
	refusedOutdated
	// refusedUnconfirmed means that the route or the key is unknown, and a newer configuration may be in force elsewhere.
	refusedUnconfirmed
	// refusedUnknown means that the newest configuration has no such route or key.
	refusedUnknown
	// refusedOverload means that the processor or the link of the daemon has no room for the request.
	refusedOverload
	refusalKindCount
)

// refusalKindNames are the names of the kinds in the log and in the metrics.
var refusalKindNames = [refusalKindCount]string{
	"other", "enginesBusy", "stageQueue", "stageLate", "inputsExpired", "callerLeaving", "noTarget", "limits", "stopping", "noConfiguration", "tooManyOpen", "streamUnknown", "versionGone", "outdated", "unconfirmed", "unknown", "overload",
}

func (k refusalKind) String() string { return refusalKindNames[k] }

// refusalClass is the time from the arrival of a request to its refusal, as a class of fractions of the latency goal.
type refusalClass uint8

const (
	classEighth refusalClass = iota
	classQuarter
	classHalf
	classGoal
	classMore
	// classNoGoal is the class of requests whose route is unknown or has no goal.
	classNoGoal
	refusalClassCount
)

// refusalClassNames are the names of the classes in the metrics.
var refusalClassNames = [refusalClassCount]string{"eighth", "quarter", "half", "goal", "more", "noGoal"}

// classOf returns the class of a refusal after a time.
func classOf(took, goal time.Duration) refusalClass {
	switch {
	case goal <= 0:
		return classNoGoal
	case took <= goal/8:
		return classEighth
	case took <= goal/4:
		return classQuarter
	case took <= goal/2:
		return classHalf
	case took <= goal:
		return classGoal
	}
	return classMore
}

// Bounds of the histogram of refusal times, in thousandths of the latency goal. Two digits suffice to compare a p99 with an eighth.
const (
	goalUnits          = 1000
	minRefusalFraction = 1
	maxRefusalFraction = 100 * goalUnits
	fractionDigits     = 2
)

// refusalTimes counts refusals by the time that they took.
type refusalTimes struct {
	classes   [refusalClassCount]int64
	fractions *hdrhistogram.Histogram
}

func (t *refusalTimes) record(took, goal time.Duration) {
	t.classes[classOf(took, goal)]++
	if goal <= 0 {
		return
	}
	if t.fractions == nil {
		t.fractions = hdrhistogram.New(minRefusalFraction, maxRefusalFraction, fractionDigits)
	}
	fraction := int64(goalUnits * took.Seconds() / goal.Seconds())
	// Recording cannot fail, as the value is clamped to the bounds of the histogram.
	_ = t.fractions.RecordValue(min(maxRefusalFraction, max(minRefusalFraction, fraction)))
}

// RefusalTimes holds refusals by the time from arrival, as the metrics endpoint shows them.
type RefusalTimes struct {
	Count int64 `json:"count"`
	// Within counts the refusals by their time from the arrival, as a fraction of the latency goal: up to an eighth,
	// quarter, half or all of it, more, or without a goal.
	Within map[string]int64 `json:"within"`
	// P99 is the 99th percentile of that fraction.
	P99 float64 `json:"p99OfGoal"`
}

func (t *refusalTimes) stats() RefusalTimes {
	r := RefusalTimes{Within: map[string]int64{}}
	for class, n := range t.classes {
		r.Count += n
		if n > 0 {
			r.Within[refusalClassNames[class]] = n
		}
	}
	if t.fractions != nil {
		r.P99 = float64(t.fractions.ValueAtQuantile(99)) / goalUnits
	}
	return r
}

// refusalStats counts the requests that were refused as not run, by the kind of reason and the time from their arrival.
type refusalStats struct {
	mu         sync.Mutex
	kinds      [refusalKindCount]refusalTimes
	beforeWork refusalTimes
}

// record counts a refusal. worked tells whether a stage or a target had been asked for the request before.
func (s *refusalStats) record(kind refusalKind, took, goal time.Duration, worked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds[kind].record(took, goal)
	if !worked {
		s.beforeWork.record(took, goal)
	}
}

// RefusalStats holds the refusals as the metrics endpoint shows them.
type RefusalStats struct {
	// Kinds has the kinds of reasons that occurred.
	Kinds map[string]RefusalTimes `json:"kinds"`
	// BeforeWork has the refusals of requests for which nothing had been done: no stage completed and no target asked.
	BeforeWork RefusalTimes `json:"beforeWork"`
}

func (s *refusalStats) stats() RefusalStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := RefusalStats{Kinds: map[string]RefusalTimes{}, BeforeWork: s.beforeWork.stats()}
	for kind := range s.kinds {
		if times := s.kinds[kind].stats(); times.Count > 0 {
			r.Kinds[refusalKind(kind).String()] = times
		}
	}
	return r
}

// as sets the kind of reason of a failure.
func (x *failure) as(kind refusalKind) *failure {
	x.kind = kind
	return x
}

// stageRefusalKind returns the kind of reason for which a stage was not done.
func stageRefusalKind(outcome stageOutcome) refusalKind {
	switch outcome.answer.Outcome {
	case proto.PiecesRefused:
		return refusedStageQueue
	case proto.PiecesLate:
		return refusedStageLate
	case proto.PiecesLost:
		return refusedInputsExpired
	case proto.PiecesElsewhere:
		return refusedNoConfiguration
	}
	return refusedOther
}

// workStarted reports whether a stage was completed or a target asked for the request.
func (f *flow) workStarted() bool {
	if f.sent > 0 || f.runs > 0 {
		return true
	}
	for i := range f.stageLog {
		if f.stageLog[i].Outcome == proto.PiecesDone.String() {
			return true
		}
	}
	return false
}

// recordRefusal counts a refusal as not run; f may be nil, and without a route.
func (s *Server) recordRefusal(fail *failure, f *flow, took time.Duration) {
	goal, worked := time.Duration(0), false
	if f != nil {
		worked = f.workStarted()
		if f.route != nil {
			goal = f.route.LatencyGoal
		}
	}
	if fail.kind == refusedTooManyOpen || fail.reason == reasonBrittle {
		s.counts.ownLimits.Add(1)
	}
	s.counts.refusals.record(fail.kind, took, goal, worked)
}
