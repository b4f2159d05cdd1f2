package fakes

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"

	"emberlead/proto"
)

// Store stands in for the platform's table service, object store and VM list.
type Store struct {
	mu      sync.Mutex
	rows    map[string]proto.Row
	objects map[string][]byte
	vms     map[proto.VM]proto.VMEntry
	version uint64

	down      bool
	loseNext  int
	cut       map[string]bool
	reads     int64
	writes    int64
	conflicts int64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		rows:    map[string]proto.Row{},
		objects: map[string][]byte{},
		vms:     map[proto.VM]proto.VMEntry{},
		cut:     map[string]bool{},
	}
}

// SetDown makes every call fail as unavailable, or work again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// LoseResponses makes the next n writes take effect without an answer.
func (s *Store) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNext = n
}

// SetUnreachable makes the store unreachable for one client, or reachable again.
func (s *Store) SetUnreachable(client string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[client] = cut
}

// Counts returns how many reads and writes were asked for.
func (s *Store) Counts() (reads, writes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// SetVM puts a VM on the list.
func (s *Store) SetVM(entry proto.VMEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms[entry.VM] = entry
}

// RemoveVM takes a VM off the list.
func (s *Store) RemoveVM(vm proto.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.vms, vm)
}

// ClientFor returns the store as one client sees it, so that a test can cut that client off.
func (s *Store) ClientFor(client string) *Client { return &Client{store: s, name: client} }

// Client is the store as one client sees it.
type Client struct {
	store *Store
	name  string
}

func (c *Client) enter(op string, counter *int64) error {
	*counter++
	if c.store.down || c.store.cut[c.name] {
		return newError(op, proto.KindUnavailable, "the store is out")
	}
	return nil
}

// Read returns a row; one that does not exist has version 0.
func (c *Client) Read(_ context.Context, key string) (proto.Row, error) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := c.enter("read", &s.reads); err != nil {
		return proto.Row{}, err
	}
	row, ok := s.rows[key]
	if !ok {
		row.Key = key
	}
	return row, nil
}

// List returns up to limit rows whose keys start with prefix and come after the given one.
func (c *Client) List(_ context.Context, prefix, after string, limit int) (proto.RowList, error) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := c.enter("list", &s.reads); err != nil {
		return proto.RowList{}, err
	}
	var keys []string
	for key := range s.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	var list proto.RowList
	for _, key := range keys {
		if len(list.Rows) == limit {
			list.More = true
			break
		}
		list.Rows = append(list.Rows, s.rows[key])
	}
	return list, nil
}

// Transact carries out a transaction; it fails with KindConflict, KindUnavailable or, if the answer is lost, KindUnknown.
func (c *Client) Transact(_ context.Context, tx proto.Transaction) error {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := c.enter("transact", &s.writes); err != nil {
		return err
	}
	for _, condition := range tx.Conditions {
		if s.rows[condition.Key].Version != condition.Version {
			s.conflicts++
			return newError("transact", proto.KindConflict, "row %s has version %d, not %d", condition.Key, s.rows[condition.Key].Version, condition.Version)
		}
	}
	s.version++
	for _, write := range tx.Writes {
		if write.Value == nil {
			delete(s.rows, write.Key)
			continue
		}
		s.rows[write.Key] = proto.Row{Key: write.Key, Version: s.version, Value: slices.Clone(write.Value)}
	}
	if s.loseNext > 0 {
		s.loseNext--
		return newError("transact", proto.KindUnknown, "the answer was lost")
	}
	return nil
}

// Put stores an object under its hash.
func (c *Client) Put(_ context.Context, hash string, data []byte) error {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := c.enter("put", &s.writes); err != nil {
		return err
	}
	s.objects[hash] = slices.Clone(data)
	return nil
}

// Get returns the object with the hash; it fails with KindNotFound or KindUnavailable.
func (c *Client) Get(_ context.Context, hash string) ([]byte, error) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := c.enter("get", &s.reads); err != nil {
		return nil, err
	}
	data, ok := s.objects[hash]
	if !ok {
		return nil, newError("get", proto.KindNotFound, "no object %s", hash)
	}
	return slices.Clone(data), nil
}

// VMs returns the VM list.
func (c *Client) VMs(context.Context) (proto.VMList, error) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := c.enter("list vms", &s.reads); err != nil {
		return proto.VMList{}, err
	}
	var list proto.VMList
	for _, entry := range s.vms {
		list.VMs = append(list.VMs, entry)
	}
	sort.Slice(list.VMs, func(i, j int) bool { return list.VMs[i].VM < list.VMs[j].VM })
	return list, nil
}
