package agent

import (
	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/slots"
)

// LinkUp takes a link from an entry, in place of an earlier one.
func (a *Agent) LinkUp(l cleat.Link) {
	p := l.Peer()
	if p.Role != cleat.RoleEntry {
		a.log.Warn("closed a link from a peer that is no entry", "peer", p.Instance, "role", p.Role)
		_ = l.Close()
		return
	}
	a.mu.Lock()
	earlier := a.entries[p.Instance]
	a.entries[p.Instance] = l
	orphans := a.orphans(p)
	a.commit(a.table.ConnectEntry(a.clock.Now(), p))
	if earlier != nil {
		_ = earlier.Close()
	}
	for _, r := range orphans {
		r.withdraw(errEntryLost)
	}
}

// orphans returns the runs of an entry's earlier lives, for which nobody waits.
func (a *Agent) orphans(p cleat.Peer) []*run {
	var list []*run
	for _, r := range a.runs {
		if r.entry.Instance == p.Instance && r.entry.Incarnation != p.Incarnation {
			list = append(list, r)
		}
	}
	return list
}

// LinkDown keeps the entry's runs for a while, in case it comes back.
func (a *Agent) LinkDown(l cleat.Link, err error) {
	p := l.Peer()
	now := a.clock.Now()
	var effects cleat.Effects
	a.mu.Lock()
	if a.entries[p.Instance] == l {
		delete(a.entries, p.Instance)
		effects = a.table.DisconnectEntry(now, p.Instance)
	}
	detached := a.runsOf(p.Instance)
	a.commit(effects)
	a.log.Info("link to an entry is down", "entry", p.Instance, "running", len(detached), "err", err)
	for _, r := range detached {
		r.detach(l, now)
	}
}

func (a *Agent) runsOf(id cleat.InstanceID) []*run {
	var list []*run
	for _, r := range a.runs {
		if r.entry.Instance == id {
			list = append(list, r)
		}
	}
	return list
}

// LinkMessage handles a message from an entry.
func (a *Agent) LinkMessage(l cleat.Link, m cleat.Message) {
	switch m := m.(type) {
	case *cleat.Offers:
		a.decide(func(t *slots.Table) cleat.Effects { return t.ApplyOffers(a.clock.Now(), l.Peer().Instance, m) })
	case *cleat.Decline:
		a.decide(func(t *slots.Table) cleat.Effects { return t.ApplyDecline(a.clock.Now(), l.Peer().Instance, m) })
	case *cleat.Dispatch:
		a.dispatch(l, m)
	case *cleat.Body:
		a.body(l, m)
	case *cleat.PartAck:
		a.ack(l, m)
	case *cleat.Resume:
		a.resume(l, m)
	case *cleat.Cancel:
		a.cancel(l, m)
	default:
		a.log.Warn("unexpected message from an entry", "entry", l.Peer().Instance, "kind", m.Kind())
	}
}

// decide runs f on the slots table and carries out its effects.
func (a *Agent) decide(f func(t *slots.Table) cleat.Effects) {
	a.mu.Lock()
	a.commit(f(a.table))
}

// find returns the run of an attempt if it belongs to the entry behind l.
func (a *Agent) find(l cleat.Link, attempt cleat.Attempt) *run {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.owned(l, attempt)
}

func (a *Agent) owned(l cleat.Link, attempt cleat.Attempt) *run {
	r := a.runs[attempt]
	if r == nil || r.entry.Instance != l.Peer().Instance {
		return nil
	}
	return r
}

func (a *Agent) body(l cleat.Link, m *cleat.Body) {
	if r := a.find(l, m.Attempt); r != nil {
		r.addBody(m)
	}
}

func (a *Agent) ack(l cleat.Link, m *cleat.PartAck) {
	r := a.find(l, m.Attempt)
	if r == nil {
		return
	}
	if r.ack(m) {
		a.forget(r)
	}
}

func (a *Agent) forget(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.runs, r.attempt())
}

// resume sends an answer again, or says what is known of an attempt that isn't here.
func (a *Agent) resume(l cleat.Link, m *cleat.Resume) {
	a.mu.Lock()
	r := a.owned(l, m.Attempt)
	var ran cleat.Ran
	if r == nil {
		ran = a.table.InvalidateAttempt(a.clock.Now(), m.Attempt)
	}
	a.mu.Unlock()
	if r == nil {
		a.refuse(l, &cleat.Refused{Attempt: m.Attempt, Reason: cleat.ReasonStaleGrant, Ran: lostAnswer(ran)})
		return
	}
	if !r.resume(l, m.Offset) {
		r.withdraw(errCanceled)
		a.refuse(l, &cleat.Refused{Attempt: m.Attempt, Reason: cleat.ReasonBufferOverrun, Ran: cleat.RanUnknown})
	}
}

// lostAnswer is what an entry is told of an attempt whose answer is gone:
// RanYes would mean a second copy, which changes nothing for the entry.
func lostAnswer(ran cleat.Ran) cleat.Ran {
	if ran == cleat.RanYes {
		return cleat.RanUnknown
	}
	return ran
}

func (a *Agent) cancel(l cleat.Link, m *cleat.Cancel) {
	a.mu.Lock()
	r := a.owned(l, m.Attempt)
	if r == nil {
		a.table.InvalidateAttempt(a.clock.Now(), m.Attempt)
	}
	a.mu.Unlock()
	if r != nil {
		r.withdraw(errCanceled)
	}
}

// refuse tells an entry that an attempt is not taken; when the link breaks, the
// entry asks again with a Resume.
func (a *Agent) refuse(l cleat.Link, m *cleat.Refused) {
	if err := l.Send(m); err != nil {
		a.log.Debug("refusal not sent", "attempt", m.Attempt, "err", err)
	}
}
