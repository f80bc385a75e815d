package proxy

import (
	"strconv"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/place"
	"marigoldcleat.example/cleat/policy/poison"
)

const (
	// begunEvents is how many events show that an upstream answers a request without
	// ending; a shorter answer shows it when it is complete.
	begunEvents = 4
	// quarantineRetryAfter is the Retry-After of requests with a quarantined block:
	// quarantine ends minutes after the last of them.
	quarantineRetryAfter = 30 * time.Second
)

// refuseQuarantined refuses a request whose prompt has a block that crashes upstreams.
// isPlaced is set when the job was placed meanwhile. It returns false if there is no
// such block.
func (x *exchange) refuseQuarantined(isPlaced bool) bool {
	r := x.role
	if r.quarantined.Load() == 0 {
		return false // Spares a busy entry the lock.
	}
	r.mu.Lock()
	q := r.poison.Check(r.clock.Now(), x.service, x.info.Prompt.SharedBlocks())
	r.mu.Unlock()
	if q == nil {
		return false
	}
	if isPlaced {
		r.recordEnd(x.job, place.OutcomeNotSent)
	}
	x.logDecision("quarantined", quarantineFields(r.clock.Now(), q)...)
	x.refuseOrAbort("quarantined", quarantineRetryAfter)
	return true
}

// quarantineFields returns the log fields of a quarantined block.
func quarantineFields(now time.Time, q *poison.Quarantine) []any {
	return []any{
		"block", strconv.FormatUint(q.Block, 16), "with", len(q.With), "crashes", q.Crashes, "requests", q.Requests, "upstreams", q.Upstreams,
		"first_crash", now.Sub(q.FirstAt).Round(time.Millisecond), "last_crash", now.Sub(q.LastAt).Round(time.Millisecond),
	}
}

// recordBegun records that an attempt's answer began without ending its upstream.
func (x *exchange) recordBegun() {
	if blocks := x.info.Prompt.SharedBlocks(); !x.begun && len(blocks) > 0 {
		x.begun = true
		x.role.mu.Lock()
		defer x.role.mu.Unlock()
		x.role.poison.RecordServed(x.role.clock.Now(), x.service, blocks)
	}
}

// recordBroken handles an attempt that broke off. If its answer had not begun and the
// upstream has ended, the prompt's blocks may be the cause. It waits for that check
// unless all of them are known to be sound.
func (x *exchange) recordBroken(u cleat.UpstreamRecord) {
	blocks := x.info.Prompt.SharedBlocks()
	if x.begun || len(blocks) == 0 || x.ctx.Err() != nil {
		return
	}
	r := x.role
	r.mu.Lock()
	isProven := r.poison.IsProven(r.clock.Now(), x.service, blocks)
	r.mu.Unlock()
	id := x.info.ID
	record := func(ended bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.poison.RecordBreak(r.clock.Now(), u, id, blocks, ended)
	}
	if isProven {
		go func() { record(r.hasEnded(u)) }()
		return
	}
	record(r.hasEnded(u))
}

// recordReplaced handles the record of an upstream's next incarnation, or of another
// upstream that has taken its address: the earlier one has ended. The caller holds r.mu.
func (r *Role) recordReplaced(now time.Time, next cleat.UpstreamRecord) {
	for _, id := range []cleat.UpstreamID{next.Upstream, r.roster.AddressOwner(next.Address)} {
		if old, ok := r.roster.ByID(id); ok && old.StartedAtMillis < next.StartedAtMillis {
			r.poison.RecordEnd(now, old)
		}
	}
}

// allowsRepeat reports whether the prompt's blocks allow that a failed request is sent
// to another upstream.
func (x *exchange) allowsRepeat() bool {
	x.role.mu.Lock()
	defer x.role.mu.Unlock()
	return x.role.poison.AllowRepeat(x.role.clock.Now(), x.service, x.info.Prompt.SharedBlocks())
}

// tickPoison updates the quarantined blocks and logs changes. The caller holds r.mu.
func (r *Role) tickPoison(now time.Time) {
	added, ended := r.poison.Tick(now)
	r.quarantined.Store(int64(r.poison.Quarantined()))
	for _, q := range added {
		r.log.Warn("prompt block quarantined", append([]any{"service", q.Service}, quarantineFields(now, q)...)...)
	}
	for _, q := range ended {
		r.log.Info("prompt block no longer quarantined", append([]any{"service", q.Service}, quarantineFields(now, q)...)...)
	}
}
