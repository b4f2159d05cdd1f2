package fakes

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"

	"emberlead/proto"
)

// Store is an in-memory fake of the platform's table service, object store and VM list.
type Store struct {
	mu      sync.Mutex
	rows    map[string]proto.Row
	objects map[string][]byte
	vms     map[proto.VM]proto.VMEntry
	version uint64

	down            bool
	responsesToLose int
	unreachable     map[string]bool
	reads           int64
	writes          int64
	conflicts       int64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		rows:        map[string]proto.Row{},
		objects:     map[string][]byte{},
		vms:         map[proto.VM]proto.VMEntry{},
		unreachable: map[string]bool{},
	}
}

// SetDown sets whether every call fails with KindUnavailable.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// LoseResponses makes the next n writes take effect and then fail as if their responses were lost.
func (s *Store) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToLose = n
}

// SetUnreachable sets whether the store is unreachable for one client.
func (s *Store) SetUnreachable(client string, unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable[client] = unreachable
}

// Counts returns the numbers of read and write calls, including those that failed.
func (s *Store) Counts() (reads, writes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// SetVM adds a VM to the list or replaces its entry.
func (s *Store) SetVM(entry proto.VMEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms[entry.VM] = entry
}

// RemoveVM removes a VM from the list.
func (s *Store) RemoveVM(vm proto.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.vms, vm)
}

// ClientFor returns a view of the store for one client, so that a test can make it unreachable for that client alone.
func (s *Store) ClientFor(client string) *Client { return &Client{store: s, name: client} }

// Client is one client's view of the Store.
type Client struct {
	store *Store
	name  string
}

func (c *Client) beginCall(op string, counter *int64) error {
	*counter++
	if c.store.down || c.store.unreachable[c.name] {
		return newError(op, proto.KindUnavailable, "the store is out")
	}
	return nil
}

// Read returns a row. A row that does not exist has version 0.
func (c *Client) Read(_ context.Context, key string) (proto.Row, error) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := c.beginCall("read", &s.reads); err != nil {
		return proto.Row{}, err
	}
	row, ok := s.rows[key]
	if !ok {
		row.Key = key
	}
	return row, nil
}

// List returns up to limit rows whose keys start with prefix and sort after the key after.
func (c *Client) List(_ context.Context, prefix, after string, limit int) (proto.RowList, error) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := c.beginCall("list", &s.reads); err != nil {
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

// Transact executes a transaction. It fails with KindConflict, with KindUnavailable or, if the response is lost, with KindUnknown.
func (c *Client) Transact(_ context.Context, tx proto.Transaction) error {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := c.beginCall("transact", &s.writes); err != nil {
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
	if s.responsesToLose > 0 {
		s.responsesToLose--
		return newError("transact", proto.KindUnknown, "the answer was lost")
	}
	return nil
}

// Put stores an object under its hash.
func (c *Client) Put(_ context.Context, hash string, data []byte) error {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := c.beginCall("put", &s.writes); err != nil {
		return err
	}
	s.objects[hash] = slices.Clone(data)
	return nil
}

// Get returns the object with the given hash. It fails with KindNotFound or KindUnavailable.
func (c *Client) Get(_ context.Context, hash string) ([]byte, error) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := c.beginCall("get", &s.reads); err != nil {
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
	if err := c.beginCall("list vms", &s.reads); err != nil {
		return proto.VMList{}, err
	}
	var list proto.VMList
	for _, entry := range s.vms {
		list.VMs = append(list.VMs, entry)
	}
	sort.Slice(list.VMs, func(i, j int) bool { return list.VMs[i].VM < list.VMs[j].VM })
	return list, nil
}
