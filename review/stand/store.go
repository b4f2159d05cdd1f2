package main

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is the platform's table service: versioned rows that are read, watched and written.
type store struct {
	mu      sync.Mutex
	changed chan struct{}
	version uint64
	rows    map[string]map[string]storeRow
	server  *http.Server
	address string
	start   time.Time
}

type storeRow struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	PrivateKey string `json:"privateKey"`
	Value      []byte `json:"value,omitempty"`
	Ver        uint64 `json:"ver"`
	Tombstone  bool   `json:"tombstone,omitempty"`
}

// maxPage is the largest number of rows in one answer.
const maxPage = 500

func newStore() (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{changed: make(chan struct{}), version: 1, rows: map[string]map[string]storeRow{}, address: listener.Addr().String(), start: time.Now()}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes a row; an empty value removes it.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.putLocked(table, key, value)
	s.wake()
}

func (s *store) putLocked(table, key string, value []byte) {
	if s.rows[table] == nil {
		s.rows[table] = map[string]storeRow{}
	}
	s.rows[table][key] = storeRow{Table: table, PrivateKey: key, Value: value, Ver: s.version, Tombstone: value == nil}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) putJSON(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.put(table, key, data)
}

// ServeHTTP answers a call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/rows-get":
		s.writeRows(w, q.Get("table"), q.Get("from"), 0, false)
	case "/-/rows-feed":
		after, _ := strconv.ParseUint(q.Get("afterRev"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
		defer cancel()
		s.waitNewer(ctx, q.Get("table"), after)
		s.writeRows(w, q.Get("table"), "", after, true)
	case "/-/rows-tx":
		s.write(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) waitNewer(ctx context.Context, table string, after uint64) {
	for {
		s.mu.Lock()
		changed, newer := s.changed, false
		for _, row := range s.rows[table] {
			newer = newer || row.Ver > after
		}
		s.mu.Unlock()
		if newer {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (s *store) writeRows(w http.ResponseWriter, table, from string, after uint64, tombstones bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []storeRow{}
	for _, row := range s.rows[table] {
		if row.Ver > after && row.PrivateKey >= from && (tombstones || !row.Tombstone) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storeRow) int {
		if tombstones {
			return cmp.Compare(a.Ver, b.Ver)
		}
		return cmp.Compare(a.PrivateKey, b.PrivateKey)
	})
	truncated := !tombstones && len(rows) > maxPage
	if truncated {
		rows = rows[:maxPage]
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": rows, "truncated": truncated})
}

// answer adds the newest version and the store's clock to an answer.
func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["ver"], body["nowMs"] = s.version, time.Since(s.start).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) write(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ExpectRev, Puts, Remove []storeRow
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.ExpectRev {
		row := s.rows[e.Table][e.PrivateKey]
		if row.Tombstone {
			row.Ver = 0
		}
		if row.Ver != e.Ver {
			s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": []storeRow{row}})
			return
		}
	}
	s.version++
	for _, p := range body.Puts {
		s.putLocked(p.Table, p.PrivateKey, p.Value)
	}
	for _, p := range body.Remove {
		s.putLocked(p.Table, p.PrivateKey, nil)
	}
	s.wake()
	s.answer(w, http.StatusOK, map[string]any{})
}
