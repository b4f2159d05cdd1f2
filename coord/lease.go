package coord

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"emberlead/proto"
)

const rowLease = "lease/"

// LeaseTiming holds the intervals of leases.
type LeaseTiming struct {
	TTL time.Duration
	// Margin covers clocks that run at different speeds and orders that are still in flight.
	Margin time.Duration
}

// DefaultLeaseTiming returns the production timing, which renews a lease every five seconds.
func DefaultLeaseTiming() LeaseTiming {
	return LeaseTiming{TTL: 15 * time.Second, Margin: 3 * time.Second}
}

// leaseValue is the value stored in a lease's row.
type leaseValue struct {
	Holder      proto.VM          `json:"holder"`
	Incarnation proto.Incarnation `json:"incarnation"`
	Epoch       proto.Epoch       `json:"epoch"`
	Renewal     uint64            `json:"renewal"`
	Released    bool              `json:"released,omitempty"`
}

// Lease is one daemon's view of one lease. Clocks of different daemons are never compared: the holder counts from
// before it sent its write, and a challenger counts from when it first saw the row unchanged.
type Lease struct {
	mu          sync.Mutex
	table       Table
	name        string
	self        proto.VM
	incarnation proto.Incarnation
	timing      LeaseTiming
	value       leaseValue
	version     uint64
	seenAt      time.Time // when this version was first seen
	heldUntil   time.Time // when the lease of this run expires
	sentAt      map[uint64]time.Time
}

// NewLease returns a lease that this daemon does not hold.
func NewLease(table Table, name string, self proto.VM, incarnation proto.Incarnation, timing LeaseTiming) *Lease {
	return &Lease{table: table, name: name, self: self, incarnation: incarnation, timing: timing, sentAt: map[uint64]time.Time{}}
}

// Held returns the epoch of the lease and whether this run holds it for at least the given time from now. Callers check
// it right before each order.
func (l *Lease) Held(clock func() time.Time, atLeast time.Duration) (proto.Epoch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.value.Epoch, l.isHolder() && clock().Add(atLeast).Before(l.heldUntil)
}

func (l *Lease) isHolder() bool {
	return l.value.Holder == l.self && l.value.Incarnation == l.incarnation && !l.value.Released
}

// Step acquires, renews, releases or watches the lease. It fails with KindUnavailable; a held lease that is not renewed then expires.
func (l *Lease) Step(ctx context.Context, clock func() time.Time, want bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock()
	if l.isHolder() && now.Before(l.heldUntil.Add(-2*l.timing.TTL/3)) && want {
		return nil
	}
	if err := l.read(ctx, now); err != nil {
		return err
	}
	switch {
	case l.isHolder() && !want:
		return l.write(ctx, clock, leaseValue{Epoch: l.value.Epoch, Released: true, Holder: l.self, Incarnation: l.incarnation})
	case !want:
		return nil
	case l.isHolder():
		next := l.value
		next.Renewal++
		return l.write(ctx, clock, next)
	case l.version == 0, l.value.Released, clock().Sub(l.seenAt) > l.timing.TTL+l.timing.Margin:
		return l.write(ctx, clock, leaseValue{Holder: l.self, Incarnation: l.incarnation, Epoch: l.value.Epoch + 1})
	}
	return nil
}

func (l *Lease) read(ctx context.Context, now time.Time) error {
	row, err := l.table.Read(ctx, rowLease+l.name)
	if err != nil {
		return err
	}
	if row.Version == l.version {
		return nil
	}
	var value leaseValue
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return &Error{Op: "read lease", Kind: proto.KindInvalid, Err: err}
	}
	l.value, l.version, l.seenAt = value, row.Version, now
	l.extend()
	return nil
}

// extend counts a write whose answer was lost from when it was sent, once the row shows it.
func (l *Lease) extend() {
	sentAt, ok := l.sentAt[l.writeID(l.value)]
	if l.isHolder() && ok {
		l.heldUntil = sentAt.Add(l.timing.TTL - l.timing.Margin)
	}
	clear(l.sentAt)
}

// writeID identifies a write among those of one run.
func (l *Lease) writeID(v leaseValue) uint64 { return uint64(v.Epoch)<<32 | v.Renewal }

func (l *Lease) write(ctx context.Context, clock func() time.Time, value leaseValue) error {
	data, err := json.Marshal(value)
	if err != nil {
		return &Error{Op: "write lease", Kind: proto.KindInvalid, Err: err}
	}
	l.sentAt[l.writeID(value)] = clock()
	err = l.table.Transact(ctx, proto.Transaction{
		Conditions: []proto.Condition{{Key: rowLease + l.name, Version: l.version}},
		Writes:     []proto.Write{{Key: rowLease + l.name, Value: data}},
	})
	if kind := proto.KindOf(err); kind != "" && kind != proto.KindUnknown && kind != proto.KindConflict {
		return err
	}
	return l.read(ctx, clock())
}
