package coord

import (
	"context"

	"emberlead/proto"
)

// Table is the platform's transactional table service.
//
// Its errors have the kinds conflict, unavailable, and unknown for a write that may have taken effect.
type Table interface {
	Read(ctx context.Context, key string) (proto.Row, error)
	List(ctx context.Context, prefix, after string, limit int) (proto.RowList, error)
	Transact(ctx context.Context, tx proto.Transaction) error
}

// Objects is the platform's object store.
type Objects interface {
	Put(ctx context.Context, hash string, data []byte) error
	Get(ctx context.Context, hash string) ([]byte, error)
}

// Directory is the platform's VM list, which may be stale.
type Directory interface {
	VMs(ctx context.Context) (proto.VMList, error)
}

// Platform combines the platform services that coordination needs.
type Platform interface {
	Table
	Objects
	Directory
}

// Peers sends messages to other daemons.
type Peers interface {
	// Send queues a message and returns without waiting; the message may be lost.
	Send(to proto.VM, m proto.Message)
	// Call sends a message and waits for the answer; it fails with KindUnavailable.
	Call(ctx context.Context, to proto.VM, m proto.Message) (proto.Message, error)
}
