package coord

import (
	"sync"

	"emberlead/proto"
)

// readyReports records, by slot, which replicas have reported reading the slot in full.
type readyReports struct {
	mu    sync.Mutex
	slots map[int]*readySlot
}

type readySlot struct {
	since proto.Epoch
	vms   map[proto.VM]bool
}

func newReadyReports() *readyReports { return &readyReports{slots: map[int]*readySlot{}} }

func (r *readyReports) record(from proto.VM, m proto.SlotReady) {
	r.mu.Lock()
	defer r.mu.Unlock()
	slot := r.slots[m.Slot]
	if slot == nil || slot.since < m.Since {
		slot = &readySlot{since: m.Since, vms: map[proto.VM]bool{}}
		r.slots[m.Slot] = slot
	}
	if slot.since == m.Since {
		slot.vms[from] = true
	}
}

func (r *readyReports) readyVMs(index int, since proto.Epoch) map[proto.VM]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	slot := r.slots[index]
	if slot == nil || slot.since != since {
		return nil
	}
	ready := make(map[proto.VM]bool, len(slot.vms))
	for vm := range slot.vms {
		ready[vm] = true
	}
	return ready
}
