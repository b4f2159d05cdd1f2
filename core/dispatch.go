package core

import (
	"time"
)

// dispatch grants queued tickets in order of rank while targets are available.
func (p *pool) dispatch(now time.Time) []grant {
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
		if chosen == noTarget {
			return grants
		}
		ticket, chosen = p.preferCacheHit(now, ticket, chosen)
		p.queue.Remove(ticket)
		p.targets[chosen].recordStart(now)
		p.backlog.addRunning(ticket.Need.ServiceTime)
		if ticket.Need.entry != nil {
			// The target will hold the prefix from now on. A cache event corrects this if it does not.
			ticket.Need.entry.holders.set(chosen, true)
		}
		grants = append(grants, grant{pool: p, ticket: ticket, target: p.targets[chosen]})
	}
}

// urgentSlack is the slack, as a multiple of the remaining work, below which a ticket is not overtaken by another.
const urgentSlack = 1.0

// preferCacheHit looks for another queued ticket whose prefix the chosen target holds, if the target does not hold the
// prefix of the first ticket and that ticket has some slack. A cache hit frees the slot earlier for everyone.
func (p *pool) preferCacheHit(now time.Time, ticket *Ticket, chosen int) (*Ticket, int) {
	e := ticket.Need.entry
	if e == nil || e.holders.has(chosen) || ticket.latestStart().Sub(now) < seconds(urgentSlack*ticket.Remaining.Seconds()) {
		return ticket, chosen
	}
	other := p.queue.Alternative(ticket, func(t *Ticket) bool {
		return !t.withdrawn && t.Need.Prefix != "" && p.prefixes.entry(t.Need.Prefix, p.targets).holders.has(chosen)
	})
	if other == nil {
		return ticket, chosen
	}
	if at := p.choose(now, other); at != noTarget {
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
	if chosen != noTarget {
		return chosen
	}
	if need.Exclude != "" {
		need.Exclude = ""
		return p.chooser.Choose(p.targets, need)
	}
	p.readmitSome(now)
	return noTarget
}

// readmitSome ends the ejection that would end first when more than half of the targets are ejected.
func (p *pool) readmitSome(now time.Time) {
	ejected := 0
	var soonest *target
	for _, t := range p.targets {
		if !now.Before(t.ejectedUntil) || t.leaving {
			continue
		}
		ejected++
		if soonest == nil || t.ejectedUntil.Before(soonest.ejectedUntil) {
			soonest = t
		}
	}
	if ejected*panicFraction > len(p.targets) {
		soonest.ejectedUntil = now
		soonest.readmittedAt = now
	}
}
