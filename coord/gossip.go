package coord

import (
	"time"

	"emberlead/proto"
)

// batchesPerHeartbeat bounds how often updates are forwarded: after a batch was sent, updates are collected for this
// fraction of the heartbeat interval. A single update is forwarded at once; when daemons start or die one after another,
// each update goes over every link of the fleet, and the cost of a message exceeds that of its content.
const batchesPerHeartbeat = 2

// updateBatch holds the updates to be forwarded over the links.
type updateBatch struct {
	alive  []receivedAlive
	alarms []receivedAlarm
	sentAt time.Time
}

type receivedAlive struct {
	alive proto.Alive
	from  proto.VM
}

type receivedAlarm struct {
	alarm proto.Alarm
	from  proto.VM
}

func (m *Members) forwardAlive(now time.Time, a proto.Alive, from proto.VM) {
	m.updates.alive = append(m.updates.alive, receivedAlive{a, from})
	m.flushUpdates(now)
}

func (m *Members) forwardAlarm(now time.Time, a proto.Alarm, from proto.VM) {
	m.updates.alarms = append(m.updates.alarms, receivedAlarm{a, from})
	m.flushUpdates(now)
}

// flushUpdates sends the batch over the links unless one was sent just before; Tick then sends it later.
func (m *Members) flushUpdates(now time.Time) {
	pending := &m.updates
	if len(pending.alive)+len(pending.alarms) == 0 || now.Sub(pending.sentAt) < m.timing.HeartbeatInterval/batchesPerHeartbeat {
		return
	}
	for _, vm := range m.links() {
		if updates := pending.updatesFor(vm); len(updates.Alive)+len(updates.Alarms) > 0 {
			m.peers.Send(vm, updates)
		}
	}
	*pending = updateBatch{sentAt: now}
}

// updatesFor returns the updates for one daemon, without those that it sent or that concern itself.
func (b *updateBatch) updatesFor(vm proto.VM) proto.News {
	var updates proto.News
	for _, h := range b.alive {
		if h.from != vm && h.alive.VM != vm {
			updates.Alive = append(updates.Alive, h.alive)
		}
	}
	for _, h := range b.alarms {
		if h.from != vm && h.alarm.Reporter != vm {
			updates.Alarms = append(updates.Alarms, h.alarm)
		}
	}
	return updates
}

// HandleNews processes the updates that another daemon forwarded and forwards those that are new.
func (m *Members) HandleNews(now time.Time, news proto.News, from proto.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if news.Complete {
		for _, a := range news.Alive {
			m.applyAlive(now, a, from)
		}
		return
	}
	for _, a := range news.Alive {
		m.handleAlive(now, a, from)
	}
	for _, a := range news.Alarms {
		m.handleAlarm(now, a, from)
	}
}
