package slots

import (
	"time"

	"marigoldcleat.example/cleat"
)

// state builds the agent's state for an entry, with the prefixes added since
// the last; a whole one replaces all that the entry knew.
func (t *Table) state(e *entry, whole bool) *cleat.AgentState {
	if whole || e.prefixesSent == nil {
		e.prefixesSent = map[cleat.UpstreamID]uint64{}
	}
	e.stateSeq++
	m := &cleat.AgentState{Incarnation: t.self.Incarnation, Seq: e.stateSeq, Domain: t.self.Domain}
	for _, u := range t.ups {
		s := u.state()
		since, known := e.prefixesSent[u.id]
		s.ResetPrefixes = whole || !known || since < u.prefixes.forgotten
		s.Prefixes = u.prefixes.since(since, t.cfg.StatePrefixes)
		e.prefixesSent[u.id] = u.prefixes.added
		m.Upstreams = append(m.Upstreams, s)
	}
	return m
}

// stateDue makes the next ticks tell every entry.
func (t *Table) stateDue() {
	for _, e := range t.ents {
		e.due = true
	}
}

// sendStates sends the state to one entry at a time, as the pace allows.
func (t *Table) sendStates(now time.Time, e *cleat.Effects) {
	for _, u := range t.ups {
		limit := u.limit(now)
		full, slow := u.used() >= limit, u.limiter.Slow()
		if limit != u.admitted || full != u.full || slow != u.slow {
			u.admitted, u.full, u.slow = limit, full, slow
			t.stateDue()
		}
	}
	for n := len(t.ents); n > 0 && now.Sub(t.stateAt) >= t.cfg.StatePerEntry; n-- {
		ent := t.ents[t.nextState%len(t.ents)]
		t.nextState++
		if !ent.up || !ent.due || now.Sub(ent.stateSentAt) < t.cfg.StateMin {
			continue
		}
		ent.due, ent.stateSentAt, t.stateAt = false, now, now
		e.Sends = append(e.Sends, cleat.Send{To: ent.id, Message: t.state(ent, false)})
	}
}

// ask tells one entry after another that slots are free and nothing is offered.
func (t *Table) ask(now time.Time, e *cleat.Effects) {
	if t.draining || len(t.ents) == 0 || now.Before(t.askAt) {
		return
	}
	models := t.idleModels(now)
	if len(models) == 0 {
		t.askPause = 0
		return
	}
	t.askPause = min(max(2*t.askPause, t.cfg.AskMin), t.cfg.AskMax)
	t.askAt = now.Add(t.askPause)
	for n := len(t.ents); n > 0; n-- {
		ent := t.ents[t.nextAsk%len(t.ents)]
		t.nextAsk++
		if ent.up {
			e.Sends = append(e.Sends, cleat.Send{
				To: ent.id, Message: &cleat.Ask{Incarnation: t.self.Incarnation, Models: models},
			})
			return
		}
	}
}

// idleModels lists the models of upstreams with free slots.
func (t *Table) idleModels(now time.Time) []cleat.ModelID {
	var models []cleat.ModelID
	for _, u := range t.ups {
		if u.limit(now) <= u.used() {
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
