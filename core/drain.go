package core

import (
	"time"
)

// drain grants waiting tickets in rank order while targets are open.
func (p *pool) drain(now time.Time) []grant {
	var grants []grant
	for {
		ticket := p.queue.Next(now)
		if ticket == nil {
			return grants
		}
		if ticket.withdrawn {
			p.queue.Remove(ticket)
			continue
		}
		chosen := p.choose(now, ticket)
		if chosen == openTarget {
			return grants
		}
		ticket, chosen = p.better(now, ticket, chosen)
		p.queue.Remove(ticket)
		p.targets[chosen].started(now)
		p.backlog.begin(ticket.Need.Service)
		if ticket.Need.entry != nil {
			// The target will hold the prefix from now on; an event corrects that if it does not.
			ticket.Need.entry.holders.set(chosen, true)
		}
		grants = append(grants, grant{pool: p, ticket: ticket, target: p.targets[chosen]})
	}
}

// urgentPart is the slack, in parts of the work left, below which a ticket does not let another one go first.
const urgentPart = 1.0

// better looks for a waiting ticket whose prefix an open target holds, if the first one's is held by none and it
// can wait a little: a hit frees the slot earlier for all.
func (p *pool) better(now time.Time, ticket *Ticket, chosen int) (*Ticket, int) {
	e := ticket.Need.entry
	if e == nil || e.holders.has(chosen) || ticket.latest().Sub(now) < seconds(urgentPart*ticket.Remaining.Seconds()) {
		return ticket, chosen
	}
	other := p.queue.Beside(ticket, func(t *Ticket) bool {
		return !t.withdrawn && t.Need.Prefix != "" && p.prefixes.entry(t.Need.Prefix, p.targets).holders.has(chosen)
	})
	if other == nil {
		return ticket, chosen
	}
	if at := p.choose(now, other); at != openTarget {
		return other, at
	}
	return ticket, chosen
}

func (p *pool) choose(now time.Time, ticket *Ticket) int {
	need := &ticket.Need
	need.Now = now
	need.entry = nil
	if need.Prefix != "" {
		need.entry = p.prefixes.entry(need.Prefix, p.targets)
		need.saving = p.prefixes.saving()
	}
	chosen := p.chooser.Choose(p.targets, need)
	if chosen != openTarget {
		return chosen
	}
	if need.Exclude != "" {
		need.Exclude = ""
		return p.chooser.Choose(p.targets, need)
	}
	p.readmitSome(now)
	return openTarget
}

// readmitSome ends the ejections that are over soonest when more than half of the targets are ejected.
func (p *pool) readmitSome(now time.Time) {
	ejected := 0
	var soonest *target
	for _, t := range p.targets {
		if !now.Before(t.ejectedTo) || t.leaving {
			continue
		}
		ejected++
		if soonest == nil || t.ejectedTo.Before(soonest.ejectedTo) {
			soonest = t
		}
	}
	if ejected*panicFraction > len(p.targets) {
		soonest.ejectedTo = now
		soonest.readmitted = now
	}
}
