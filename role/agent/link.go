package agent

import (
	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/slots"
)

// LinkUp registers a link from an entry, replaces and closes an earlier link from it,
// and abandons the runs of the entry's earlier incarnations.
func (a *Agent) LinkUp(l cleat.Link) {
	p := l.Peer()
	if p.Role != cleat.RoleEntry {
		a.log.Warn("closed link: peer is not an entry", "peer", p.Instance, "role", p.Role)
		_ = l.Close()
		return
	}
	a.mu.Lock()
	earlier := a.entryLinks[p.Instance]
	a.entryLinks[p.Instance] = l
	superseded := a.runsOfEarlierIncarnations(p)
	a.unlockAndSend(a.slots.ConnectEntry(a.clock.Now(), p))
	if earlier != nil {
		_ = earlier.Close()
	}
	for _, r := range superseded {
		r.abandon(errEntryLost)
	}
}

// runsOfEarlierIncarnations returns the runs that were dispatched by another
// incarnation of the entry; their answers are no longer wanted. a.mu is held.
func (a *Agent) runsOfEarlierIncarnations(p cleat.Peer) []*run {
	var list []*run
	for _, r := range a.runs {
		if r.entry.Instance == p.Instance && r.entry.Incarnation != p.Incarnation {
			list = append(list, r)
		}
	}
	return list
}

// LinkDown detaches the entry's runs from the link. They are kept for ResumeGrace, in
// case the entry reconnects.
func (a *Agent) LinkDown(l cleat.Link, err error) {
	p := l.Peer()
	now := a.clock.Now()
	var effects cleat.Effects
	a.mu.Lock()
	if a.entryLinks[p.Instance] == l {
		delete(a.entryLinks, p.Instance)
		effects = a.slots.DisconnectEntry(now, p.Instance)
	}
	affected := a.runsOfEntry(p.Instance)
	a.unlockAndSend(effects)
	a.log.Info("link to an entry is down", "entry", p.Instance, "running", len(affected), "err", err)
	for _, r := range affected {
		r.detach(l, now)
	}
}

func (a *Agent) runsOfEntry(id cleat.InstanceID) []*run {
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
		a.updateSlots(func(t *slots.Table) cleat.Effects { return t.ApplyOffers(a.clock.Now(), l.Peer().Instance, m) })
	case *cleat.Decline:
		a.updateSlots(func(t *slots.Table) cleat.Effects { return t.ApplyDecline(a.clock.Now(), l.Peer().Instance, m) })
	case *cleat.Dispatch:
		a.handleDispatch(l, m)
	case *cleat.Body:
		a.handleBody(l, m)
	case *cleat.PartAck:
		a.handlePartAck(l, m)
	case *cleat.Resume:
		a.handleResume(l, m)
	case *cleat.Cancel:
		a.handleCancel(l, m)
	default:
		a.log.Warn("unexpected message from an entry", "entry", l.Peer().Instance, "kind", m.Kind())
	}
}

// updateSlots calls f on the slots table and sends the resulting messages.
func (a *Agent) updateSlots(f func(t *slots.Table) cleat.Effects) {
	a.mu.Lock()
	a.unlockAndSend(f(a.slots))
}

// findRun returns the run of an attempt, or nil if there is none or it belongs to
// an entry other than the peer of l.
func (a *Agent) findRun(l cleat.Link, attempt cleat.Attempt) *run {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ownedRun(l, attempt)
}

// ownedRun is findRun for callers that hold a.mu.
func (a *Agent) ownedRun(l cleat.Link, attempt cleat.Attempt) *run {
	r := a.runs[attempt]
	if r == nil || r.entry.Instance != l.Peer().Instance {
		return nil
	}
	return r
}

func (a *Agent) handleBody(l cleat.Link, m *cleat.Body) {
	if r := a.findRun(l, m.Attempt); r != nil {
		r.addBody(m)
	}
}

func (a *Agent) handlePartAck(l cleat.Link, m *cleat.PartAck) {
	r := a.findRun(l, m.Attempt)
	if r == nil {
		return
	}
	if r.ack(m) {
		a.removeRun(r)
	}
}

func (a *Agent) removeRun(r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.runs, r.attempt())
}

// handleResume resends an answer from the requested offset. If the run or the offset
// is not available, it sends a refusal that says whether the attempt ran, if known.
func (a *Agent) handleResume(l cleat.Link, m *cleat.Resume) {
	a.mu.Lock()
	r := a.ownedRun(l, m.Attempt)
	var ran cleat.Ran
	if r == nil {
		ran = a.slots.InvalidateAttempt(a.clock.Now(), m.Attempt)
	}
	a.mu.Unlock()
	if r == nil {
		a.sendRefusal(l, &cleat.Refused{Attempt: m.Attempt, Reason: cleat.ReasonStaleGrant, Ran: ranWithoutAnswer(ran)})
		return
	}
	if !r.resume(l, m.Offset) {
		r.abandon(errCanceled)
		a.sendRefusal(l, &cleat.Refused{Attempt: m.Attempt, Reason: cleat.ReasonBufferOverrun, Ran: cleat.RanUnknown})
	}
}

// ranWithoutAnswer returns the Ran value for an attempt whose answer is no longer
// available. RanYes becomes RanUnknown, because entries take RanYes as the refusal of
// a duplicate dispatch and ignore it.
func ranWithoutAnswer(ran cleat.Ran) cleat.Ran {
	if ran == cleat.RanYes {
		return cleat.RanUnknown
	}
	return ran
}

func (a *Agent) handleCancel(l cleat.Link, m *cleat.Cancel) {
	a.mu.Lock()
	r := a.ownedRun(l, m.Attempt)
	if r == nil {
		a.slots.InvalidateAttempt(a.clock.Now(), m.Attempt)
	}
	a.mu.Unlock()
	if r != nil {
		r.abandon(errCanceled)
	}
}

// sendRefusal tells an entry that an attempt was refused. If the link is down, the
// entry learns it from the answer to its next Resume.
func (a *Agent) sendRefusal(l cleat.Link, m *cleat.Refused) {
	if err := l.Send(m); err != nil {
		a.log.Debug("refusal not sent", "attempt", m.Attempt, "err", err)
	}
}
