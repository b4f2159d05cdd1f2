package proto

import "net/netip"

// Paths of the platform's protocol.
const (
	PathTransact = "/v1/table/transact"
	PathRows     = "/v1/table/rows"
	PathObjects  = "/v1/objects"
	PathVMs      = "/v1/vms"
	PathWeights  = "/v1/weights"
)

// Row is one row of the platform's table service; version 0 means that there is none.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Condition holds if the row has the version.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets the value of a row, or deletes it if Value is nil.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
}

// Transaction writes all of its rows if all of its conditions hold, and otherwise none.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// RowList is a page of rows in key order.
type RowList struct {
	Rows []Row `json:"rows"`
	More bool  `json:"more,omitempty"`
}

// VMEntry is one VM as the platform lists it, late.
type VMEntry struct {
	VM      VM             `json:"vm"`
	Zone    Zone           `json:"zone"`
	Peer    netip.AddrPort `json:"peer"`
	Entry   bool           `json:"entry"`
	Leaving bool           `json:"leaving"`
}

// VMList is the platform's list of live and leaving VMs.
type VMList struct {
	VMs []VMEntry `json:"vms"`
}
