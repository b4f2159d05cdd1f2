package coord

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"

	"emberlead/proto"
)

const (
	maxRecentChanges = 512
	// MaxAnswerChanges bounds the changes in one message.
	MaxAnswerChanges = 128
)

// HashOf returns the name of an object: the SHA-256 of its content in hexadecimal.
func HashOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// ConfigState is one daemon's copy of the accepted configuration. Its generation never decreases.
type ConfigState struct {
	mu         sync.Mutex
	snapshot   *proto.Snapshot
	files      map[string]proto.Change // the newest change of each file, with its body
	stops      map[proto.VM]proto.Change
	recent     []proto.Change // the latest changes in order, without gaps
	synced     bool
	onSnapshot func(*proto.Snapshot)
	rejected   int64
}

// NewConfigState returns an empty copy at generation 0 that is not synced yet; onSnapshot is called with each snapshot
// that takes effect.
func NewConfigState(onSnapshot func(*proto.Snapshot)) *ConfigState {
	return &ConfigState{
		snapshot:   proto.EmptySnapshot(),
		files:      map[string]proto.Change{},
		stops:      map[proto.VM]proto.Change{},
		onSnapshot: onSnapshot,
	}
}

// Snapshot returns the configuration in force here.
func (c *ConfigState) Snapshot() *proto.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot
}

// Generation returns the generation in force here.
func (c *ConfigState) Generation() proto.Generation { return c.Snapshot().Generation }

// Synced reports whether the daemon has learned the accepted configuration, from the store or from a peer that knew it.
func (c *ConfigState) Synced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.synced
}

// MarkSynced records the accepted generation according to the store or a peer; the state is synced if it has reached that generation.
func (c *ConfigState) MarkSynced(generation proto.Generation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot.Generation >= generation {
		c.synced = true
	}
}

// File returns the newest change of a file, with its body.
func (c *ConfigState) File(name string) (proto.Change, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change, ok := c.files[name]
	return change, ok
}

// Files returns the newest change of every file.
func (c *ConfigState) Files() map[string]proto.Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	copied := make(map[string]proto.Change, len(c.files))
	for name, change := range c.files {
		copied[name] = change
	}
	return copied
}

// ApplyChanges applies the changes that follow the own generation, in order. It returns false if one is missing or
// invalid; those before it stay applied.
func (c *ConfigState) ApplyChanges(changes []proto.Change) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.snapshot
	for i := range changes {
		change := changes[i]
		if change.Generation <= next.Generation {
			continue
		}
		if change.Generation != next.Generation+1 {
			c.publish(next)
			return false
		}
		applied, ok := c.applyChange(next, change)
		if !ok {
			c.rejected++
			c.publish(next)
			return false
		}
		next = applied
	}
	c.publish(next)
	return true
}

func (c *ConfigState) publish(next *proto.Snapshot) {
	if next == c.snapshot {
		return
	}
	c.snapshot = next
	if c.onSnapshot != nil {
		c.onSnapshot(next)
	}
}

func (c *ConfigState) applyChange(from *proto.Snapshot, change proto.Change) (*proto.Snapshot, bool) {
	switch change.Kind {
	case proto.ChangeFile:
		if HashOf(change.Body) != change.Hash {
			return nil, false
		}
		file, faults := proto.ReadFile(change.Body)
		if len(faults) > 0 {
			return nil, false
		}
		c.files[change.Name] = change
		c.addRecent(change)
		return from.WithFile(change.Generation, file), true
	case proto.ChangeStop:
		if change.Stop == nil {
			return nil, false
		}
		c.recordStop(change)
		c.addRecent(change)
		return from.WithStop(change.Generation, *change.Stop), true
	}
	return nil, false
}

func (c *ConfigState) recordStop(change proto.Change) {
	if change.Stop.At.IsZero() {
		delete(c.stops, change.Stop.VM)
		return
	}
	c.stops[change.Stop.VM] = change
}

func (c *ConfigState) addRecent(change proto.Change) {
	c.recent = append(c.recent, change)
	if len(c.recent) > maxRecentChanges {
		c.recent = append([]proto.Change(nil), c.recent[len(c.recent)-maxRecentChanges/2:]...)
	}
}

// ApplyFull replaces the state with a complete one; a state that is not newer is ignored. It returns false if a change
// in it is invalid.
func (c *ConfigState) ApplyFull(generation proto.Generation, changes []proto.Change) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if generation <= c.snapshot.Generation {
		return true
	}
	snapshot := proto.EmptySnapshot()
	rebuilt := &ConfigState{files: map[string]proto.Change{}, stops: map[proto.VM]proto.Change{}}
	for _, change := range changes {
		applied, ok := rebuilt.applyChange(snapshot, change)
		if !ok {
			c.rejected++
			return false
		}
		snapshot = applied
	}
	full := *snapshot
	full.Generation = generation
	c.files, c.stops, c.recent = rebuilt.files, rebuilt.stops, nil
	c.publish(&full)
	return true
}

// After answers a daemon at a lower generation with the changes that it lacks, or with the complete state if they are no longer kept.
func (c *ConfigState) After(generation proto.Generation) proto.ChangesAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer := proto.ChangesAnswer{Generation: c.snapshot.Generation}
	if generation >= answer.Generation {
		return answer
	}
	if len(c.recent) > 0 && c.recent[0].Generation <= generation+1 {
		for _, change := range c.recent {
			if change.Generation > generation && len(answer.Changes) < MaxAnswerChanges {
				answer.Changes = append(answer.Changes, change)
			}
		}
		return answer
	}
	answer.Full = true
	for _, change := range c.files {
		answer.Changes = append(answer.Changes, change)
	}
	for _, change := range c.stops {
		answer.Changes = append(answer.Changes, change)
	}
	return answer
}
