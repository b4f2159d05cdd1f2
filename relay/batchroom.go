package relay

import (
	"slices"
	"time"
)

// learnRoom records that a target had less room than expected: it holds results unknown to this daemon, such as those
// made for an earlier owner of the pool. They are freed by that owner or expire.
func (b *Batcher) learnRoom(now time.Time, t *batchTarget) {
	if t == nil {
		return
	}
	t.hidden = max(0, b.spec.MaxResultBytes-t.room)
	t.hiddenAt = now
	t.outTo = now.Add(roomWait)
}

// hiddenNow estimates how many bytes of unknown results a target still holds.
func (b *Batcher) hiddenNow(now time.Time, t *batchTarget) int64 {
	if t.hidden == 0 || b.spec.ResultLifetime == 0 {
		return 0
	}
	left := 1 - float64(now.Sub(t.hiddenAt))/(hiddenShare*float64(b.spec.ResultLifetime))
	return int64(max(0, left) * float64(t.hidden))
}

func (b *Batcher) giveBack(t *batchTarget, bytes int) {
	if t != nil {
		t.room = max(0, t.room-int64(bytes))
	}
}

func (b *Batcher) keep(now time.Time, t *batchTarget, handle string, bytes int, since time.Time) {
	if t == nil {
		return
	}
	t.leaves = append(t.leaves, keptResult{handle: handle, bytes: int64(bytes), until: now.Add(b.spec.ResultLifetime), since: since})
	b.kept[handle] = t
}

// Freed records that a result was freed at the target that made it.
func (b *Batcher) Freed(now time.Time, handle string) {
	t := b.kept[handle]
	if t == nil {
		return
	}
	delete(b.kept, handle)
	t.leaves = slices.DeleteFunc(t.leaves, func(k keptResult) bool {
		if k.handle == handle {
			t.room = max(0, t.room-k.bytes)
			b.hold += holdWeight * (float64(now.Sub(k.since)) - b.hold)
		}
		return k.handle == handle
	})
}

func (b *Batcher) hasRoom(now time.Time, t *batchTarget, j *Job, pieces int) bool {
	return b.spec.MaxResultBytes == 0 || t.room+b.hiddenNow(now, t)+int64(pieces*j.Params.ResultBytes) <= b.spec.MaxResultBytes
}
