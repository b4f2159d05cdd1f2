package relay

import (
	"slices"
	"time"
)

// recordNoRoom records that a target had less room than expected: it holds results unknown to this daemon, such as
// those made for an earlier owner of the pool, until they are freed or expire.
func (b *Batcher) recordNoRoom(now time.Time, t *batchTarget) {
	if t == nil {
		return
	}
	t.unknownBytes = max(0, b.spec.MaxResultBytes-t.usedBytes)
	t.unknownSince = now
	t.skippedUntil = now.Add(noRoomBackoff)
}

// currentUnknownBytes estimates how many bytes of unknown results a target still holds.
func (b *Batcher) currentUnknownBytes(now time.Time, t *batchTarget) int64 {
	if t.unknownBytes == 0 || b.spec.ResultLifetime == 0 {
		return 0
	}
	left := 1 - float64(now.Sub(t.unknownSince))/(unknownExpiryShare*float64(b.spec.ResultLifetime))
	return int64(max(0, left) * float64(t.unknownBytes))
}

func (b *Batcher) releaseRoom(t *batchTarget, bytes int) {
	if t != nil {
		t.usedBytes = max(0, t.usedBytes-int64(bytes))
	}
}

func (b *Batcher) recordResult(now time.Time, t *batchTarget, handle string, bytes int, startedAt time.Time) {
	if t == nil {
		return
	}
	t.keptResults = append(t.keptResults, keptResult{handle: handle, bytes: int64(bytes), expiresAt: now.Add(b.spec.ResultLifetime), startedAt: startedAt})
	b.resultTargets[handle] = t
}

// ResultFreed records that a result was freed at the target that made it.
func (b *Batcher) ResultFreed(now time.Time, handle string) {
	t := b.resultTargets[handle]
	if t == nil {
		return
	}
	delete(b.resultTargets, handle)
	t.keptResults = slices.DeleteFunc(t.keptResults, func(k keptResult) bool {
		if k.handle == handle {
			t.usedBytes = max(0, t.usedBytes-k.bytes)
			b.meanHoldTime += holdWeight * (float64(now.Sub(k.startedAt)) - b.meanHoldTime)
		}
		return k.handle == handle
	})
}

func (b *Batcher) hasRoom(now time.Time, t *batchTarget, j *Job, pieces int) bool {
	return b.spec.MaxResultBytes == 0 || t.usedBytes+b.currentUnknownBytes(now, t)+int64(pieces*j.Params.ResultBytes) <= b.spec.MaxResultBytes
}
