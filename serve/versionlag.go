package serve

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"emberlead/proto"
)

const (
	// maxVersionLag is how long a daemon may know of a newer configuration without having it before this is logged.
	maxVersionLag = time.Second
	// newestTTL is how long the newest version counts after a daemon last told of it. It may be gone if the store was restored.
	newestTTL = 10 * time.Second
	// lagLogInterval is how often it is logged again while the daemon stays behind.
	lagLogInterval = time.Second
	// fromStore names the store as the source of a version.
	fromStore = "store"
)

// versionLag tracks how far this daemon's configuration is behind the newest version that it has heard of, and what became of its
// requests for newer versions.
type versionLag struct {
	mu sync.Mutex
	// newest is the newest version heard of, and newestFrom the daemon that told it first.
	newest     uint64
	newestFrom proto.VM
	// newestAt is when a daemon last told of it.
	newestAt time.Time
	// behindSince is when the daemon first heard of a version newer than its own; zero while it has the newest one.
	behindSince time.Time
	loggedAt    time.Time
	// asked and failed count the requests for newer state since behindSince, and lastFailure tells why the last of them failed.
	asked, failed int
	lastFailure   string
	// pending holds the daemons that were asked and have not answered yet, and since when.
	pending map[proto.VM]time.Time
	// storedAt is when the first daemon got the version in force from the store, at the earliest.
	storedAt time.Time
	last     adoption
}

// adoption tells how a version came into force.
type adoption struct {
	Version uint64 `json:"version"`
	From    string `json:"from"`
	Bytes   int    `json:"bytes"`
	// Asked counts the requests for newer state that it took, and Failed those of them that failed.
	Asked  int `json:"asked"`
	Failed int `json:"failed"`
	// Behind is how long after this daemon had heard of a newer version it came into force, and StoreAge how long after a daemon first
	// got it from the store; both in milliseconds.
	Behind   int64 `json:"behindMs"`
	StoreAge int64 `json:"storeAgeMs"`
}

// LagStats tells whether a daemon's configuration is behind, since when, and what became of its requests for a newer one.
type LagStats struct {
	Newest uint64 `json:"newest"`
	// NewestFrom is the daemon that first told of the newest version.
	NewestFrom string `json:"newestFrom,omitempty"`
	// Behind is how long a newer version has been known, in milliseconds; 0 if the newest one is in force.
	Behind      int64  `json:"behindMs"`
	Asked       int    `json:"asked"`
	Failed      int    `json:"failed"`
	LastFailure string `json:"lastFailure,omitempty"`
	// Pending holds the daemons that have not answered yet, and for how many milliseconds.
	Pending map[proto.VM]int64 `json:"pending,omitempty"`
	// Last is how the version in force was adopted.
	Last adoption `json:"last"`
}

// heard records that another daemon has a version.
func (l *versionLag) heard(now time.Time, from proto.VM, version, own uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version > l.newest || now.Sub(l.newestAt) > newestTTL {
		l.newest, l.newestFrom = version, from
	}
	if version == l.newest {
		l.newestAt = now
	}
	if l.newest <= own {
		l.behindSince = time.Time{}
	}
	if version > own && l.behindSince.IsZero() {
		l.behindSince = now
	}
}

// askStarted records that another daemon is asked for newer state.
func (l *versionLag) askStarted(now time.Time, from proto.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending == nil {
		l.pending = map[proto.VM]time.Time{}
	}
	l.pending[from] = now
	l.asked++
}

// askEnded records that a request ended; busy means that the other daemon was sending its configuration to others, and err is nil if it
// answered.
func (l *versionLag) askEnded(from proto.VM, busy bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, from)
	switch {
	case busy:
		l.failed++
		l.lastFailure = string(from) + " is sending to others"
	case err != nil:
		l.failed++
		l.lastFailure = string(from) + ": " + err.Error()
	}
}

// adopted records that a version came into force and returns how; age is how long ago a daemon first got it from the store.
func (l *versionLag) adopted(now time.Time, version uint64, from string, bytes int, age time.Duration) adoption {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storedAt = now.Add(-age)
	a := adoption{Version: version, From: from, Bytes: bytes, Asked: l.asked, Failed: l.failed, StoreAge: age.Milliseconds()}
	if !l.behindSince.IsZero() {
		a.Behind = now.Sub(l.behindSince).Milliseconds()
	}
	l.last = a
	if version >= l.newest {
		l.newest, l.newestFrom = version, ""
		l.behindSince, l.loggedAt, l.asked, l.failed, l.lastFailure = time.Time{}, time.Time{}, 0, 0, ""
	}
	return a
}

// storeAge returns how long ago a daemon first got the version in force from the store.
func (l *versionLag) storeAge(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.storedAt.IsZero() {
		return 0
	}
	return now.Sub(l.storedAt)
}

func (l *versionLag) stats(now time.Time) LagStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := LagStats{Newest: l.newest, NewestFrom: string(l.newestFrom), Asked: l.asked, Failed: l.failed, LastFailure: l.lastFailure, Last: l.last}
	if !l.behindSince.IsZero() {
		s.Behind = now.Sub(l.behindSince).Milliseconds()
	}
	for vm, since := range l.pending {
		if s.Pending == nil {
			s.Pending = map[proto.VM]int64{}
		}
		s.Pending[vm] = now.Sub(since).Milliseconds()
	}
	return s
}

// shouldLog reports whether the daemon has been behind for so long that this is to be logged now.
func (l *versionLag) shouldLog(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.behindSince.IsZero() || now.Sub(l.behindSince) < maxVersionLag || now.Sub(l.loggedAt) < lagLogInterval {
		return false
	}
	l.loggedAt = now
	return true
}

// log logs that the configuration is behind, and why.
func (l *versionLag) log(now time.Time, logger hclog.Logger, own uint64, isReader bool) {
	if !l.shouldLog(now) {
		return
	}
	s := l.stats(now)
	logger.Warn("configuration behind", "version", own, "newest", s.Newest, "newestFrom", s.NewestFrom, "behindMs", s.Behind,
		"asked", s.Asked, "failed", s.Failed, "lastFailure", s.LastFailure, "pending", s.Pending, "readsStore", isReader)
}
