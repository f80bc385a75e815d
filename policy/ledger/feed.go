package ledger

import (
	"math"
	"time"

	"marigoldcleat.example/cleat"
)

// feed is what was sent to one agent.
type feed struct {
	seq     uint64
	sent    []cell
	lifts   []float64
	at      []time.Time
	next    int // Workspace to go on with.
	ackDue  bool
	ready   bool
	partial bool
	sentAt  time.Time
	whole   bool // The next sums are the first since all was forgotten.
}

// Sums returns what changed since the last sums to an agent, without the
// agent's own present total, or nil when nothing did.
func (r *Relay) Sums(now time.Time, agent cleat.InstanceID) *cleat.LedgerSums {
	r.expire(now)
	r.limitLag(now)
	f, ok := r.feeds[agent]
	if !ok {
		f = &feed{ackDue: true, whole: true}
		r.feeds[agent] = f
	}
	f.grow(len(r.names))
	own := r.newest(agent)
	if own != nil && own.gap {
		f.ackDue = true
	}
	if now.Sub(f.sentAt) < time.Duration(scale(r.agents())*float64(ReportInterval))-reportSlack && !f.ackDue && !f.whole {
		return nil
	}
	totals := r.changed(now, f, own)
	ready := len(totals) < MaxSumsTotals && now.Sub(r.started) > AdoptWindow && !r.started.IsZero()
	partial := !r.hearsAll(now)
	if len(totals) == 0 && !f.ackDue && ready == f.ready && partial == f.partial {
		return nil
	}
	f.seq++
	f.ackDue, f.ready, f.partial = false, ready, partial
	m := &cleat.LedgerSums{
		Relay: r.self.Instance, Incarnation: r.self.Incarnation,
		Seq: f.seq, Complete: f.whole, Ready: ready, Agents: r.agents(), Totals: totals, Partial: partial,
	}
	f.whole, f.sentAt = false, now
	if own != nil && !own.gap {
		m.AckedSeq = own.seq
	}
	return m
}

// Unlink forgets what an agent was told, because its link broke; the numbers of
// its sums go on, so that it takes the next ones.
func (r *Relay) Unlink(agent cleat.InstanceID) {
	if f, ok := r.feeds[agent]; ok {
		f.reset()
	}
}

// changed lists at most MaxSumsTotals workspaces that moved, going round.
func (r *Relay) changed(now time.Time, f *feed, own *row) []cleat.WorkspaceTotal {
	var totals []cleat.WorkspaceTotal
	n := len(r.names)
	for step := 0; step < n && len(totals) < MaxSumsTotals; step++ {
		i := f.next % n
		f.next = i + 1
		c := r.others(i, own)
		moved := math.Abs(c.service + c.inFlight - f.sent[i].service - f.sent[i].inFlight)
		late := moved > 0 && now.Sub(f.at[i]) >= RefreshInterval
		if moved < SumsQuantum*scale(r.agents()) && r.lifts[i] == f.lifts[i] && !late {
			continue
		}
		t := cleat.WorkspaceTotal{Workspace: r.names[i], Service: c.service, InFlight: c.inFlight}
		if r.lifts[i] != f.lifts[i] {
			t.ServiceFloor = r.lifts[i]
		}
		f.sent[i], f.lifts[i], f.at[i] = c, r.lifts[i], now
		totals = append(totals, t)
	}
	return totals
}

// agents returns how many agents reported here, through other relays included.
func (r *Relay) agents() uint32 { return uint32(len(r.order)) }

func (r *Relay) others(i int, own *row) cell {
	c := cell{service: r.sums[i].service + r.base[i], inFlight: max(0, r.sums[i].inFlight)}
	if own != nil && i < len(own.cells) {
		c.service -= own.cells[i].service
		c.inFlight = max(0, c.inFlight-own.cells[i].inFlight)
	}
	return c
}

func (f *feed) grow(n int) {
	for len(f.sent) < n {
		f.sent = append(f.sent, cell{})
		f.lifts = append(f.lifts, 0)
		f.at = append(f.at, time.Time{})
	}
}

func (f *feed) reset() {
	clear(f.sent)
	clear(f.lifts)
	clear(f.at)
	f.whole = true
	f.ackDue = true
}
