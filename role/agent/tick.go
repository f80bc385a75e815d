package agent

import (
	"time"

	"marigoldcleat.example/cleat"
)

// runTicker advances the slots table, sends pending answer data, cleans up runs, sends
// ledger reports and ends a drained agent, until stop is closed.
func (a *Agent) runTicker(stop <-chan struct{}) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var lastCleanup, lastReport time.Time
	for {
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
		now := a.clock.Now()
		a.mu.Lock()
		a.unlockAndSend(a.slots.Tick(now))
		a.flushPending()
		if now.Sub(lastCleanup) >= cleanupInterval {
			lastCleanup = now
			a.cleanUpRuns(now)
		}
		if now.Sub(lastReport) >= reportInterval {
			lastReport = now
			a.sendLedgerReport(now)
		}
		a.closeIfDrained()
	}
}

// flushPending sends answer data that was left unsent because a link had no room.
func (a *Agent) flushPending() {
	for _, r := range a.listRuns() {
		r.flushPending()
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

// cleanUpRuns abandons the runs of lost entries, removes the removable ones, charges
// running plain requests and updates the gauges.
func (a *Agent) cleanUpRuns(now time.Time) {
	buffered := 0
	a.mu.Lock()
	list := make([]*run, 0, len(a.runs))
	for _, r := range a.runs {
		list = append(list, r)
		a.chargeBusyTime(now, r)
	}
	a.mu.Unlock()
	for _, r := range list {
		if r.entryLost(now, a.cfg.ResumeGrace) {
			r.abandon(errEntryLost)
		}
		if r.isRemovable(now, a.cfg.ResumeGrace) {
			a.removeRun(r)
		}
		buffered += r.bufferedBytes()
	}
	a.metrics.Scope().Gauge("runs_held").Update(float64(len(list)))
	a.metrics.Scope().Gauge("answer_buffer_bytes").Update(float64(buffered))
	a.metrics.Scope().Gauge("links").Update(float64(a.Counters().LinksUp()))
	a.metrics.Scope().Gauge("links_refused").Update(float64(a.Counters().RefusedHellos()))
	a.linkMetrics.Update()
	a.updateSlotGauges()
}

// updateSlotGauges sets each upstream's gauges of its slot limit and its running requests.
func (a *Agent) updateSlotGauges() {
	a.mu.Lock()
	list := a.slots.Upstreams()
	a.mu.Unlock()
	for _, u := range list {
		scope := a.metrics.Scope().Tagged(map[string]string{"upstream": string(u.Upstream)})
		scope.Gauge("slots_limit").Update(float64(u.Limit))
		scope.Gauge("slots_running").Update(float64(u.Running))
	}
}

// chargeBusyTime charges a running request of a plain service for its time so far.
func (a *Agent) chargeBusyTime(now time.Time, r *run) {
	if r.dispatch.Stream.Kind == cleat.KindPlain && !r.hasEnded() {
		a.slots.RecordProgress(now, r.attempt(), cleat.Usage{Busy: now.Sub(r.startedAt)})
	}
}

func (a *Agent) sendLedgerReport(now time.Time) {
	if a.control == nil {
		return
	}
	a.mu.Lock()
	m := a.slots.LedgerReport(now)
	a.mu.Unlock()
	if m != nil {
		a.control.Report(m)
	}
}

func (a *Agent) closeIfDrained() {
	a.mu.Lock()
	drained := a.draining && len(a.runs) == 0
	a.mu.Unlock()
	if drained {
		a.closeDone()
	}
}
