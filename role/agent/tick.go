package agent

import (
	"time"

	"marigoldcleat.example/cleat"
)

// tick drives the slots table and cleans up, until stop closes.
func (a *Agent) tick(stop <-chan struct{}) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var cleaned, reported time.Time
	for {
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
		now := a.clock.Now()
		a.mu.Lock()
		a.commit(a.table.Tick(now))
		a.flushLate()
		if now.Sub(cleaned) >= cleanupInterval {
			cleaned = now
			a.clean(now)
		}
		if now.Sub(reported) >= reportInterval {
			reported = now
			a.sendReport(now)
		}
		a.endIfDrained()
	}
}

// flushLate sends on what found no room on its link.
func (a *Agent) flushLate() {
	for _, r := range a.listRuns() {
		r.flushLate()
	}
}

func (a *Agent) listRuns() []*run {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]*run, 0, len(a.runs))
	for _, r := range a.runs {
		list = append(list, r)
	}
	return list
}

// clean lets go of runs whose entry stayed away and forgets settled ones.
func (a *Agent) clean(now time.Time) {
	kept := 0
	a.mu.Lock()
	list := make([]*run, 0, len(a.runs))
	for _, r := range a.runs {
		list = append(list, r)
		a.chargeBusy(now, r)
	}
	a.mu.Unlock()
	for _, r := range list {
		if r.lost(now, a.cfg.ResumeGrace) {
			r.withdraw(errEntryLost)
		}
		if r.settled(now, a.cfg.ResumeGrace) {
			a.forget(r)
		}
		kept += r.kept()
	}
	a.metrics.Scope().Gauge("runs_held").Update(float64(len(list)))
	a.metrics.Scope().Gauge("answer_buffer_bytes").Update(float64(kept))
	a.metrics.Scope().Gauge("links").Update(float64(a.Counters().Up()))
	a.metrics.Scope().Gauge("links_refused").Update(float64(a.Counters().Refused()))
	a.links.Update()
	a.showSlots()
}

// showSlots shows how many requests each upstream admits and runs.
func (a *Agent) showSlots() {
	a.mu.Lock()
	list := a.table.Upstreams()
	a.mu.Unlock()
	for _, u := range list {
		scope := a.metrics.Scope().Tagged(map[string]string{"upstream": string(u.Upstream)})
		scope.Gauge("slots_limit").Update(float64(u.Limit))
		scope.Gauge("slots_running").Update(float64(u.Running))
	}
}

// chargeBusy charges a plain service's request while it runs.
func (a *Agent) chargeBusy(now time.Time, r *run) {
	if r.dispatch.Stream.Kind == cleat.KindPlain && !r.hasEnded() {
		a.table.RecordProgress(now, r.attempt(), cleat.Usage{Busy: now.Sub(r.begun)})
	}
}

func (a *Agent) sendReport(now time.Time) {
	if a.control == nil {
		return
	}
	a.mu.Lock()
	m := a.table.LedgerReport(now)
	a.mu.Unlock()
	if m != nil {
		a.control.Report(m)
	}
}

func (a *Agent) endIfDrained() {
	a.mu.Lock()
	drained := a.draining && len(a.runs) == 0
	a.mu.Unlock()
	if drained {
		a.finish()
	}
}
