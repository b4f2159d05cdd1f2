package state

import (
	"bytes"
	"sort"
	"sync"
	"time"

	"emberlead/proto"
)

const (
	// MaxKeptAnswer is the size in bytes up to which an answer is kept with its claim.
	MaxKeptAnswer = 16 << 10
	recordCost    = 160 // bytes of a record without its answer
)

// Ledger remembers the claims on the keys of one slot until they are older than the retention.
type Ledger struct {
	mu        sync.Mutex
	retention time.Duration
	mostBytes int
	bytes     int
	records   map[proto.Key]*proto.ClaimRecord
	byTime    *Heap[proto.Key]
	forgotten time.Time
}

// NewLedger returns an empty ledger that keeps answers while it holds less than the given bytes.
func NewLedger(retention time.Duration, mostBytes int) *Ledger {
	return &Ledger{
		retention: retention,
		mostBytes: mostBytes,
		records:   map[proto.Key]*proto.ClaimRecord{},
		byTime:    NewHeap(func(a, b proto.Key) bool { return bytes.Compare(a[:], b[:]) < 0 }),
	}
}

// Len returns the number of records.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// Claim grants a key that no other request holds; a key from before the forgotten time is never granted.
func (l *Ledger) Claim(key proto.Key, fingerprint uint64, claim proto.ClaimID) (proto.ClaimResult, []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !proto.KeyTime(key).After(l.forgotten) {
		return proto.ClaimTooOld, nil
	}
	record := l.records[key]
	switch {
	case record == nil:
		l.add(&proto.ClaimRecord{Key: key, Claim: claim, Fingerprint: fingerprint, State: proto.ClaimStateHeld})
		return proto.ClaimGranted, nil
	case record.State != proto.ClaimStateReleased && record.Fingerprint != fingerprint:
		return proto.ClaimMismatch, nil
	case record.State == proto.ClaimStateDone:
		return proto.ClaimDone, record.Answer
	case record.State == proto.ClaimStateReleased && record.Claim != claim:
		record.Claim = claim
		record.Fingerprint = fingerprint
		record.State = proto.ClaimStateHeld
		return proto.ClaimGranted, nil
	case record.State == proto.ClaimStateHeld && record.Claim == claim:
		return proto.ClaimGranted, nil
	}
	return proto.ClaimTaken, nil
}

func (l *Ledger) add(record *proto.ClaimRecord) {
	l.records[record.Key] = record
	l.byTime.Push(record.Key)
	l.bytes += recordCost + len(record.Answer)
}

// Settle marks a claim as released or done; a release of a claim not yet seen is kept, so that the claim cannot come after it.
func (l *Ledger) Settle(key proto.Key, claim proto.ClaimID, released bool, answer []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.records[key]
	if record == nil {
		if proto.KeyTime(key).After(l.forgotten) && released {
			l.add(&proto.ClaimRecord{Key: key, Claim: claim, State: proto.ClaimStateReleased})
		}
		return
	}
	if record.Claim != claim || record.State == proto.ClaimStateDone {
		return
	}
	if released {
		record.State = proto.ClaimStateReleased
		return
	}
	record.State = proto.ClaimStateDone
	if len(answer) <= MaxKeptAnswer && l.bytes+len(answer) <= l.mostBytes {
		record.Answer = answer
		l.bytes += len(answer)
	}
}

// Sweep forgets the records whose keys are older than the retention, and from then on refuses keys that old, whatever the clock says later.
func (l *Ledger) Sweep(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := now.Add(-l.retention)
	if limit.After(l.forgotten) {
		l.forgotten = limit
	}
	return l.dropForgotten()
}

func (l *Ledger) dropForgotten() int {
	dropped := 0
	for {
		key, ok := l.byTime.Peek()
		if !ok || proto.KeyTime(key).After(l.forgotten) {
			return dropped
		}
		l.byTime.Pop()
		if record := l.records[key]; record != nil {
			l.bytes -= recordCost + len(record.Answer)
			delete(l.records, key)
			dropped++
		}
	}
}

// Forgotten returns the time up to which keys are refused as too old.
func (l *Ledger) Forgotten() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.forgotten
}

// Forget refuses keys up to a time as too old.
func (l *Ledger) Forget(before time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if before.After(l.forgotten) {
		l.forgotten = before
		l.dropForgotten()
	}
}

// Page returns up to limit records in key order after the given key, and whether there are more.
func (l *Ledger) Page(after proto.Key, limit int) (page []proto.ClaimRecord, more bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := make([]proto.Key, 0, len(l.records))
	for key := range l.records {
		if bytes.Compare(key[:], after[:]) > 0 {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return bytes.Compare(keys[i][:], keys[j][:]) < 0 })
	more = len(keys) > limit
	for _, key := range keys[:min(limit, len(keys))] {
		page = append(page, *l.records[key])
	}
	return page, more
}

// Merge takes in records of another replica; where two differ, the one that forbids more is kept.
func (l *Ledger) Merge(records []proto.ClaimRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range records {
		record := records[i]
		if !proto.KeyTime(record.Key).After(l.forgotten) {
			continue
		}
		own := l.records[record.Key]
		if own == nil {
			l.add(&record)
			continue
		}
		l.mergeOne(own, &record)
	}
}

func (l *Ledger) mergeOne(own, other *proto.ClaimRecord) {
	switch {
	case own.State == proto.ClaimStateDone:
	case other.State == proto.ClaimStateDone:
		l.bytes += len(other.Answer) - len(own.Answer)
		*own = *other
	case own.Claim == other.Claim:
		// Only the holder releases, so its release counts wherever it arrived.
		if other.State == proto.ClaimStateReleased {
			own.State = proto.ClaimStateReleased
		}
	case own.State == proto.ClaimStateReleased:
		*own = *other
	}
}
