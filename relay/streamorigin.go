package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"emberlead/proto"
	"emberlead/state"
)

// originRetryAfter is the Retry-After of a stream that cannot go on here: another daemon may know where it began.
const originRetryAfter = 100 * time.Millisecond

// reasonOtherVersion is why events of a target are not passed on.
const reasonOtherVersion = "the stream began at another software version, or the target has started again"

// takenUp reports whether the caller has events of the stream from an earlier request.
func (f *flow) takenUp() bool {
	return f.route.Kind == routeStream && (f.req.After > 0 || f.req.Resumes != "")
}

// streamKey returns the key of the stream that a request of the caller began; 0 if none is named.
func (f *flow) streamKey(request string) proto.StreamKey {
	if request == "" {
		return 0
	}
	return proto.StreamKey(state.Hash(f.workspace + "\x00" + request))
}

// findOrigin finds out where a stream began that the caller takes up again, and refuses it if that is unknown or if no
// target there may continue it.
func (f *flow) findOrigin(ctx context.Context, table *Table) *failure {
	if !f.takenUp() {
		return nil
	}
	found, known := f.server.origins.Find(ctx, f.digest, f.streamKey(f.req.Resumes))
	if !known {
		return f.refuseStream(refusedStreamUnknown, "it is not known at which software version the stream began")
	}
	f.origin = found
	if found.Pool != f.pool {
		if !slices.ContainsFunc(f.route.Split, func(s proto.WeightedPool) bool { return s.Pool == found.Pool }) {
			return f.refuseStream(refusedVersionGone, "the stream began at a pool that the route no longer uses")
		}
		f.usePool(table, found.Pool)
	}
	if f.versionGone() {
		return f.refuseStream(refusedVersionGone, reasonVersionGone)
	}
	return nil
}

func (f *flow) refuseStream(kind refusalKind, reason string) *failure {
	f.logInfo("a stream cannot go on", "resumes", f.req.Resumes, "after", f.req.After, "digest", f.digest.String(), "pool", f.pool, "software", f.origin.Software, "reason", reason)
	return &failure{status: http.StatusServiceUnavailable, retryAfter: originRetryAfter, reason: reason, kind: kind}
}

// versionGone reports whether the stream has begun and no target may continue it.
func (f *flow) versionGone() bool {
	return f.origin.Software != "" && !f.server.fleet.ServesVersion(f.pool, TargetCriteria{AllowedRegions: f.allowedRegions, Software: f.origin.Software})
}

// mayContinue reports whether the first events of an attempt may follow those that the caller has.
func (a *attempt) mayContinue() bool {
	f := a.race.flow
	if a.streamStarted || f.origin == (proto.StreamOrigin{}) {
		return true
	}
	return a.placement.Spec.Software == f.origin.Software && a.placement.Target.runCtx.Err() == nil
}

// recordServed records that this daemon serves the stream.
func (f *flow) recordServed() {
	lifetime := defaultTimeout
	if f.req.CallerTimeout > 0 {
		lifetime = f.req.CallerTimeout
	}
	f.server.origins.Record(proto.StreamStart{Request: f.digest, Stream: f.servedStream(), Origin: f.origin, Lifetime: lifetime})
}

// recordOrigin records where the stream began, at its first event, and cancels the attempts that may not continue it.
func (r *race) recordOrigin(a *attempt) {
	f := r.flow
	if f.origin != (proto.StreamOrigin{}) {
		return
	}
	f.origin = proto.StreamOrigin{Pool: f.pool, Software: a.placement.Spec.Software}
	if f.route.Repeatable() {
		f.recordServed()
	}
	for _, other := range slices.Clone(r.running) {
		if !other.mayContinue() {
			r.cancelAttempt(other, a.placement.Spec.ID, reasonOtherVersion)
		}
	}
}
