package proto

import "net/netip"

// Paths of the platform API.
const (
	PathTransact = "/v1/table/transact"
	PathRows     = "/v1/table/rows"
	PathObjects  = "/v1/objects"
	PathVMs      = "/v1/vms"
	PathWeights  = "/v1/weights"
)

// Row is a row of the platform's table service. Version 0 means that the row does not exist.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Condition holds if the row has the given version.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets the value of a row, or deletes the row if Value is nil.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
}

// Transaction applies all of its writes if all of its conditions hold, and none otherwise.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// RowList is one page of rows in key order.
type RowList struct {
	Rows []Row `json:"rows"`
	More bool  `json:"more,omitempty"`
}

// VMEntry is a VM in the platform's list. The list may be out of date.
type VMEntry struct {
	VM      VM             `json:"vm"`
	Zone    Zone           `json:"zone"`
	Peer    netip.AddrPort `json:"peer"`
	Entry   bool           `json:"entry"`
	Leaving bool           `json:"leaving"`
}

// VMList is the platform's list of running and leaving VMs.
type VMList struct {
	VMs []VMEntry `json:"vms"`
}
