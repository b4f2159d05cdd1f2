package serve

import (
	"emberlead/proto"
)

// handleStoreRestored handles that the store is in a newer era than was known. The watchers read its tables anew, since
// the versions that they have are of the earlier era; what this daemon wrote to the store is written again.
func (d *Relay) handleStoreRestored(era uint64) {
	d.log.Warn("the store is in a new era", "era", era, "routing", d.tables.Version(), "targets", d.fleet.Version(), "evacuations", d.fleet.EvacuationsVersion())
	d.shareTracker.StoreRestored(d.clock.Now(), era)
	d.endRowSync.handleRestore()
	select {
	case d.eraChanged <- struct{}{}:
	default:
		// The loop has not handled the previous value yet.
	}
}

// reapplyExpired applies entries again that were considered left over from before their targets left, and that are still listed.
func (d *Relay) reapplyExpired(ids []string) {
	if len(ids) == 0 {
		return
	}
	var docs []proto.TargetDocument
	d.documents.mu.Lock()
	for _, id := range ids {
		if doc, listed := d.documents.targets[id]; listed && !doc.Removed {
			docs = append(docs, doc)
		}
	}
	d.documents.mu.Unlock()
	d.applyTargetChanges(docs, "time", false)
}
