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
	// quarantineRetryAfter is the Retry-After of requests that are quarantined, or that
	// have a quarantined block: that ends after minutes.
	quarantineRetryAfter = 30 * time.Second
)

// refuseQuarantined refuses a request that crashes upstreams, or whose prompt has a
// block that does. isPlaced is set when the job was placed meanwhile. It returns false
// if the request may be sent.
func (x *exchange) refuseQuarantined(isPlaced bool) bool {
	r := x.role
	hasSuspects := r.suspects.Load() > 0
	if r.quarantined.Load() == 0 && !hasSuspects {
		return false // Spares a busy entry the lock and the digest.
	}
	var digest uint64
	if hasSuspects {
		digest = x.requestDigest()
	}
	r.mu.Lock()
	q := r.poison.Check(r.clock.Now(), x.service, x.info.Prompt.SharedBlocks())
	isRequest := hasSuspects && r.requests.Check(digest)
	r.mu.Unlock()
	if q == nil && !isRequest {
		return false
	}
	if isPlaced {
		r.recordEnd(x.job, place.OutcomeNotSent)
	}
	if isRequest {
		x.logDecision("quarantined", "digest", x.digestName())
	} else {
		x.logDecision("quarantined", quarantineFields(r.clock.Now(), q)...)
	}
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
	if x.begun {
		return
	}
	x.begun = true
	blocks, hasSuspects := x.info.Prompt.SharedBlocks(), x.role.suspects.Load() > 0
	if len(blocks) == 0 && !hasSuspects {
		return
	}
	var digest uint64
	if hasSuspects {
		digest = x.requestDigest()
	}
	x.role.mu.Lock()
	defer x.role.mu.Unlock()
	now := x.role.clock.Now()
	if len(blocks) > 0 {
		x.role.poison.RecordServed(now, x.service, blocks)
	}
	if hasSuspects {
		x.role.requests.RecordServed(now, digest)
	}
}

// recordBroken handles an attempt that broke off. If its answer had not begun and the
// upstream has ended, the request or its prompt's blocks may be the cause. It waits for
// that check unless nothing speaks against them: a repeat must not come first.
func (x *exchange) recordBroken(u cleat.UpstreamRecord) {
	if x.ctx.Err() != nil {
		return // This entry may have closed it.
	}
	r := x.role
	r.mu.Lock()
	now := r.clock.Now()
	r.planner.RecordBroken(now, u)
	r.logCold(now)
	r.mu.Unlock()
	if x.begun {
		return
	}
	id, blocks := x.info.ID, x.info.Prompt.SharedBlocks()
	b := poison.Break{Digest: x.requestDigest(), Upstream: u, SentAt: x.sentAt, At: r.clock.Now()}
	r.mu.Lock()
	isProven := r.poison.IsProven(b.At, x.service, blocks) && !r.requests.IsSuspect(b.Digest)
	r.mu.Unlock()
	record := func(ended bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if len(blocks) > 0 {
			r.poison.RecordBreak(r.clock.Now(), u, id, blocks, ended)
		}
		r.requests.RecordBreak(b, ended)
		if ended {
			r.planner.RecordEnded(r.clock.Now(), u)
		}
		r.suspects.Store(int64(r.requests.Suspects()))
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
			r.requests.RecordEnd(now, old)
		}
	}
}

// allowsRepeat reports whether a failed request may be sent to another upstream, by
// what is known about it and its prompt's blocks.
func (x *exchange) allowsRepeat() bool {
	x.role.mu.Lock()
	defer x.role.mu.Unlock()
	if x.digest != 0 && !x.role.requests.AllowRepeat(x.digest) {
		return false
	}
	return x.role.poison.AllowRepeat(x.role.clock.Now(), x.service, x.info.Prompt.SharedBlocks())
}

// tickPoison updates the quarantined blocks and requests and logs changes. The caller
// holds r.mu.
func (r *Role) tickPoison(now time.Time) {
	for _, q := range r.requests.Tick(now) {
		fields := []any{
			"digest", strconv.FormatUint(q.Digest, 16), "upstreams", q.Upstreams,
			"first_crash", now.Sub(q.FirstAt).Round(time.Millisecond), "last_crash", now.Sub(q.LastAt).Round(time.Millisecond),
		}
		if q.Active {
			r.log.Warn("request quarantined", fields...)
		} else {
			r.log.Info("request no longer quarantined", fields...)
		}
	}
	r.suspects.Store(int64(r.requests.Suspects()))
	added, ended := r.poison.Tick(now)
	r.quarantined.Store(int64(r.poison.Quarantined()))
	for _, q := range added {
		r.log.Warn("prompt block quarantined", append([]any{"service", q.Service}, quarantineFields(now, q)...)...)
	}
	for _, q := range ended {
		r.log.Info("prompt block no longer quarantined", append([]any{"service", q.Service}, quarantineFields(now, q)...)...)
	}
}
