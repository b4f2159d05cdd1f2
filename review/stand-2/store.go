package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is how long the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// store stands in for the platform's store: rows with versions, read whole, watched, and written under conditions.
type store struct {
	record  *record
	address string
	started time.Time

	mu      sync.Mutex
	version uint64
	// tables holds the rows by table, and by part and key. Removed rows stay, as tombstones.
	tables  map[string]map[rowName]storedRow
	changed chan struct{}
	// callers tells which daemon called over which connection, by the port of its end.
	callers map[int]*daemon
	// watching counts the watches that the daemons hold now, and calls all calls of theirs since calls were last counted anew.
	watching, calls, refused map[*daemon]int
	// away holds the daemons that are turned away, and turned is closed when there are others.
	away   map[*daemon]bool
	turned chan struct{}
	// find returns the daemon that opened a connection.
	find func(port int) *daemon
}

type rowName struct{ part, key string }

type storedRow struct {
	value   []byte
	version uint64
	removed bool
}

type rowDocument struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	PrivateKey string `json:"privateKey"`
	Value      []byte `json:"value,omitempty"`
	Ver        uint64 `json:"ver"`
	Tombstone  bool   `json:"tombstone,omitempty"`
}

type rowsAnswer struct {
	Rows      []rowDocument `json:"rows"`
	Truncated bool          `json:"truncated"`
	Ver       uint64        `json:"ver"`
	NowMs     int64         `json:"nowMs"`
}

type changeDocument struct {
	ExpectRev []rowDocument `json:"expectRev"`
	Puts      []rowDocument `json:"puts"`
	Remove    []rowDocument `json:"remove"`
}

func newStore(rec *record) (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		record: rec, address: listener.Addr().String(), started: time.Now(), version: 1, tables: map[string]map[rowName]storedRow{}, changed: make(chan struct{}),
		callers: map[int]*daemon{}, watching: map[*daemon]int{}, calls: map[*daemon]int{}, refused: map[*daemon]int{}, away: map[*daemon]bool{}, turned: make(chan struct{}),
		find: func(int) *daemon { return nil },
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.serveRead)
	mux.HandleFunc("GET /-/rows-feed", s.serveFeed)
	mux.HandleFunc("POST /-/rows-tx", s.serveChange)
	go func() { _ = http.Serve(listener, s.turningAway(mux)) }()
	return s, nil
}

type callerKey struct{}

// turningAway returns a handler that refuses the calls of the daemons that are turned away, as a busy store does.
func (s *store) turningAway(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		caller := s.callerOf(r.RemoteAddr)
		s.mu.Lock()
		away := s.away[caller]
		if caller != nil {
			s.calls[caller]++
			if away {
				s.refused[caller]++
			}
		}
		s.mu.Unlock()
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callerKey{}, caller)))
	})
}

// callerOf returns the daemon that calls from an address.
func (s *store) callerOf(address string) *daemon {
	_, text, _ := net.SplitHostPort(address)
	port, _ := strconv.Atoi(text)
	s.mu.Lock()
	caller, known := s.callers[port]
	s.mu.Unlock()
	if known {
		return caller
	}
	caller = s.find(port)
	if caller == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callers[port] = caller
	return caller
}

// watchers returns the daemons that hold a watch now, with nil for one whose daemon wasn't known when it began.
func (s *store) watchers() []*daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	var watchers []*daemon
	for d, n := range s.watching {
		if n > 0 {
			watchers = append(watchers, d)
		}
	}
	return watchers
}

// turnAway refuses all calls of some daemons from now on, those that it holds included, and serves all others.
func (s *store) turnAway(daemons ...*daemon) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = map[*daemon]bool{}
	for _, d := range daemons {
		s.away[d] = true
	}
	clear(s.calls)
	clear(s.refused)
	close(s.turned)
	s.turned = make(chan struct{})
}

// countWatch counts a watch that a daemon holds, until the returned function is called. The lock must be held.
func (s *store) countWatch(caller *daemon) (release func()) {
	s.watching[caller]++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.watching[caller]--
	}
}

// put writes a row as the operator or a runner does; nil removes it.
func (s *store) put(table, key string, value any) {
	var body []byte
	if value != nil {
		body, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(table, rowName{key: key}, body, value == nil)
	s.record.add("store", "%s/%s version %d: %s", table, key, s.version, body)
}

// write writes a row with the next version. The lock must be held.
func (s *store) write(table string, name rowName, value []byte, remove bool) {
	s.version++
	if s.tables[table] == nil {
		s.tables[table] = map[rowName]storedRow{}
	}
	s.tables[table][name] = storedRow{value: value, version: s.version, removed: remove}
	close(s.changed)
	s.changed = make(chan struct{})
}

// rows returns the rows of a part that changed after a version, by version, or all by key if that is 0. The lock must be held.
func (s *store) rows(table, part, from string, after uint64) []rowDocument {
	rows := []rowDocument{}
	for name, row := range s.tables[table] {
		if name.part == part && name.key >= from && row.version > after && (after > 0 || !row.removed) {
			rows = append(rows, rowDocument{Table: table, Part: name.part, PrivateKey: name.key, Value: row.value, Ver: row.version, Tombstone: row.removed})
		}
	}
	slices.SortFunc(rows, func(a, b rowDocument) int {
		if after > 0 {
			return int(a.Ver) - int(b.Ver)
		}
		return strings.Compare(a.PrivateKey, b.PrivateKey)
	})
	return rows
}

func (s *store) answer(w http.ResponseWriter, status int, rows []rowDocument) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(rowsAnswer{Rows: rows, Ver: s.version, NowMs: time.Since(s.started).Milliseconds()})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer(w, http.StatusOK, s.rows(q.Get("table"), q.Get("part"), q.Get("from"), 0))
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("afterRev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	caller, _ := r.Context().Value(callerKey{}).(*daemon)
	s.mu.Lock()
	defer s.countWatch(caller)()
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.away[caller] {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		rows, changed, turned := s.rows(q.Get("table"), "", "", max(1, after)), s.changed, s.turned
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-turned:
		case <-timeout:
			s.mu.Lock()
			s.answer(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveChange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var change changeDocument
	if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range change.ExpectRev {
		row := s.tables[expected.Table][rowName{expected.Part, expected.PrivateKey}]
		if version := row.version; version != expected.Ver && (!row.removed || expected.Ver != 0) {
			s.answer(w, http.StatusPreconditionFailed, []rowDocument{})
			return
		}
	}
	for _, put := range change.Puts {
		s.write(put.Table, rowName{put.Part, put.PrivateKey}, put.Value, false)
	}
	for _, remove := range change.Remove {
		s.write(remove.Table, rowName{remove.Part, remove.PrivateKey}, nil, true)
	}
	s.answer(w, http.StatusOK, []rowDocument{})
}
