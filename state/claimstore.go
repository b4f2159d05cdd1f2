package state

import (
	"bytes"
	"sort"
	"sync"
	"time"

	"emberlead/proto"
)

const (
	// MaxKeptAnswer is the largest answer in bytes that is kept with its claim.
	MaxKeptAnswer = 16 << 10
	recordBytes   = 160 // size in bytes of a record without its answer
)

// ClaimStore holds the claims on the keys of one slot until they are older than the retention.
type ClaimStore struct {
	mu        sync.Mutex
	retention time.Duration
	maxBytes  int
	bytes     int
	records   map[proto.Key]*proto.ClaimRecord
	byTime    *Heap[proto.Key]
	forgotten time.Time
}

// NewClaimStore returns an empty store that keeps answers while it holds less than the given number of bytes.
func NewClaimStore(retention time.Duration, maxBytes int) *ClaimStore {
	return &ClaimStore{
		retention: retention,
		maxBytes:  maxBytes,
		records:   map[proto.Key]*proto.ClaimRecord{},
		byTime:    NewHeap(func(a, b proto.Key) bool { return bytes.Compare(a[:], b[:]) < 0 }),
	}
}

// Len returns the number of records.
func (s *ClaimStore) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records)
}

// Claim grants a key that no other request holds. A key that is not newer than the forgotten time is never granted.
func (s *ClaimStore) Claim(key proto.Key, fingerprint uint64, claim proto.ClaimID) (proto.ClaimResult, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !proto.KeyTime(key).After(s.forgotten) {
		return proto.ClaimTooOld, nil
	}
	record := s.records[key]
	switch {
	case record == nil:
		s.add(&proto.ClaimRecord{Key: key, Claim: claim, Fingerprint: fingerprint, State: proto.ClaimStateHeld})
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

func (s *ClaimStore) add(record *proto.ClaimRecord) {
	s.records[record.Key] = record
	s.byTime.Push(record.Key)
	s.bytes += recordBytes + len(record.Answer)
}

// Settle marks a claim as released or done. The release of an unknown claim is recorded, so that the claim cannot be
// granted if it arrives later.
func (s *ClaimStore) Settle(key proto.Key, claim proto.ClaimID, released bool, answer []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.records[key]
	if record == nil {
		if proto.KeyTime(key).After(s.forgotten) && released {
			s.add(&proto.ClaimRecord{Key: key, Claim: claim, State: proto.ClaimStateReleased})
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
	if len(answer) <= MaxKeptAnswer && s.bytes+len(answer) <= s.maxBytes {
		record.Answer = answer
		s.bytes += len(answer)
	}
}

// Sweep drops the records whose keys are older than the retention. From then on keys of that age are refused, even if
// the clock is set back later.
func (s *ClaimStore) Sweep(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := now.Add(-s.retention)
	if limit.After(s.forgotten) {
		s.forgotten = limit
	}
	return s.dropForgotten()
}

func (s *ClaimStore) dropForgotten() int {
	dropped := 0
	for {
		key, ok := s.byTime.Peek()
		if !ok || proto.KeyTime(key).After(s.forgotten) {
			return dropped
		}
		s.byTime.Pop()
		if record := s.records[key]; record != nil {
			s.bytes -= recordBytes + len(record.Answer)
			delete(s.records, key)
			dropped++
		}
	}
}

// Forgotten returns the time up to which keys are refused as too old.
func (s *ClaimStore) Forgotten() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.forgotten
}

// Forget refuses keys up to the given time as too old.
func (s *ClaimStore) Forget(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if before.After(s.forgotten) {
		s.forgotten = before
		s.dropForgotten()
	}
}

// Page returns up to limit records in key order after the given key, and whether there are more.
func (s *ClaimStore) Page(after proto.Key, limit int) (page []proto.ClaimRecord, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make([]proto.Key, 0, len(s.records))
	for key := range s.records {
		if bytes.Compare(key[:], after[:]) > 0 {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return bytes.Compare(keys[i][:], keys[j][:]) < 0 })
	more = len(keys) > limit
	for _, key := range keys[:min(limit, len(keys))] {
		page = append(page, *s.records[key])
	}
	return page, more
}

// Merge adds the records of another replica; where two records differ, the more restrictive one is kept.
func (s *ClaimStore) Merge(records []proto.ClaimRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range records {
		record := records[i]
		if !proto.KeyTime(record.Key).After(s.forgotten) {
			continue
		}
		own := s.records[record.Key]
		if own == nil {
			s.add(&record)
			continue
		}
		s.mergeRecord(own, &record)
	}
}

func (s *ClaimStore) mergeRecord(own, other *proto.ClaimRecord) {
	switch {
	case own.State == proto.ClaimStateDone:
	case other.State == proto.ClaimStateDone:
		s.bytes += len(other.Answer) - len(own.Answer)
		*own = *other
	case own.Claim == other.Claim:
		// Only the holder releases a claim, so its release counts at whichever replica it arrived.
		if other.State == proto.ClaimStateReleased {
			own.State = proto.ClaimStateReleased
		}
	case own.State == proto.ClaimStateReleased:
		*own = *other
	}
}
