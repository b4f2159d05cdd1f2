package coord

import (
	"time"

	"emberlead/proto"
)

// gatherPart is the part of a heartbeat's interval for which news is gathered after some was passed on. Single news goes
// on at once; when many daemons start or die together, each message costs more than what is in it.
const gatherPart = 3

// gathered holds what is to be passed on over the links.
type gathered struct {
	alive  []heardAlive
	alarms []heardAlarm
	last   time.Time
}

type heardAlive struct {
	alive proto.Alive
	from  proto.VM
}

type heardAlarm struct {
	alarm proto.Alarm
	from  proto.VM
}

func (m *Members) passAlive(now time.Time, a proto.Alive, from proto.VM) {
	m.news.alive = append(m.news.alive, heardAlive{a, from})
	m.passOn(now)
}

func (m *Members) passAlarm(now time.Time, a proto.Alarm, from proto.VM) {
	m.news.alarms = append(m.news.alarms, heardAlarm{a, from})
	m.passOn(now)
}

// passOn sends the links what was gathered, unless that was done a moment ago; Tick comes back to it.
func (m *Members) passOn(now time.Time) {
	s := &m.news
	if len(s.alive)+len(s.alarms) == 0 || now.Sub(s.last) < m.timing.HeartbeatInterval/gatherPart {
		return
	}
	for _, vm := range m.links() {
		if news := s.newsFor(vm); len(news.Alive)+len(news.Alarms) > 0 {
			m.peers.Send(vm, news)
		}
	}
	*s = gathered{last: now}
}

// newsFor leaves out what a daemon said, and what is about itself.
func (s *gathered) newsFor(vm proto.VM) proto.News {
	var news proto.News
	for _, h := range s.alive {
		if h.from != vm && h.alive.VM != vm {
			news.Alive = append(news.Alive, h.alive)
		}
	}
	for _, h := range s.alarms {
		if h.from != vm && h.alarm.Reporter != vm {
			news.Alarms = append(news.Alarms, h.alarm)
		}
	}
	return news
}

// HandleNews takes in what another daemon passed on, and passes on what is news here.
func (m *Members) HandleNews(now time.Time, news proto.News, from proto.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range news.Alive {
		m.alive(now, a, from)
	}
	for _, a := range news.Alarms {
		m.alarm(now, a, from)
	}
}
