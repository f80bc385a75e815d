package slots

import (
	"time"

	"marigoldcleat.example/cleat"
)

// buildState builds the AgentState for an entry, with the prefixes added since the
// last one; a complete state replaces all prefixes that the entry knows.
func (t *Table) buildState(e *entry, complete bool) *cleat.AgentState {
	if complete || e.prefixesSent == nil {
		e.prefixesSent = map[cleat.UpstreamID]uint64{}
	}
	e.stateSeq++
	m := &cleat.AgentState{Incarnation: t.self.Incarnation, Seq: e.stateSeq, Domain: t.self.Domain}
	for _, u := range t.sortedUpstreams {
		s := u.state()
		since, known := e.prefixesSent[u.id]
		s.ResetPrefixes = complete || !known || since < u.prefixes.resetAt
		s.Prefixes = u.prefixes.addedSince(since, t.cfg.StatePrefixes)
		e.prefixesSent[u.id] = u.prefixes.added
		m.Upstreams = append(m.Upstreams, s)
	}
	return m
}

// markStatesDue makes the next ticks send an AgentState to every entry.
func (t *Table) markStatesDue() {
	for _, e := range t.sortedEntries {
		e.stateDue = true
	}
}

// sendStates sends due states to one entry at a time, spaced by StateInterval
// and EntryStateInterval. It first marks all states due if an upstream's limit
// changed, or if it became or ceased to be full or slow.
func (t *Table) sendStates(now time.Time, e *cleat.Effects) {
	for _, u := range t.sortedUpstreams {
		limit := u.limit(now)
		full, slow := u.occupied() >= limit, u.limiter.Slow()
		if limit != u.lastLimit || full != u.wasFull || slow != u.wasSlow {
			u.lastLimit, u.wasFull, u.wasSlow = limit, full, slow
			t.markStatesDue()
		}
	}
	for n := len(t.sortedEntries); n > 0 && now.Sub(t.lastStateAt) >= t.cfg.StateInterval; n-- {
		ent := t.sortedEntries[t.nextStateEntry%len(t.sortedEntries)]
		t.nextStateEntry++
		if !ent.connected || !ent.stateDue || now.Sub(ent.stateSentAt) < t.cfg.EntryStateInterval {
			continue
		}
		ent.stateDue, ent.stateSentAt, t.lastStateAt = false, now, now
		e.Sends = append(e.Sends, cleat.Send{To: ent.id, Message: t.buildState(ent, false)})
	}
}

// askForOffers tells one entry in turn that slots are free and nothing is
// offered, with exponential back-off.
func (t *Table) askForOffers(now time.Time, e *cleat.Effects) {
	if t.draining || len(t.sortedEntries) == 0 || now.Before(t.nextAskAt) {
		return
	}
	models := t.modelsWithFreeSlots(now)
	if len(models) == 0 {
		t.askInterval = 0
		return
	}
	t.askInterval = min(max(2*t.askInterval, t.cfg.MinAskInterval), t.cfg.MaxAskInterval)
	t.nextAskAt = now.Add(t.askInterval)
	for n := len(t.sortedEntries); n > 0; n-- {
		ent := t.sortedEntries[t.nextAskEntry%len(t.sortedEntries)]
		t.nextAskEntry++
		if ent.connected {
			e.Sends = append(e.Sends, cleat.Send{
				To: ent.id, Message: &cleat.Ask{Incarnation: t.self.Incarnation, Models: models},
			})
			return
		}
	}
}

// modelsWithFreeSlots lists the models of upstreams with free slots.
func (t *Table) modelsWithFreeSlots(now time.Time) []cleat.ModelID {
	var models []cleat.ModelID
	for _, u := range t.sortedUpstreams {
		if u.limit(now) <= u.occupied() {
			continue
		}
		for _, model := range u.models {
			if !contains(models, model) {
				models = append(models, model)
			}
		}
	}
	return models
}

func contains(list []cleat.ModelID, m cleat.ModelID) bool {
	for _, other := range list {
		if other == m {
			return true
		}
	}
	return false
}
