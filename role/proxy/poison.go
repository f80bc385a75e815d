package proxy

import (
	"errors"
	"net"
	"strconv"
	"syscall"
	"time"

	"marigoldcleat.example/cleat"
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

// endCheck is a check whether an upstream has ended.
type endCheck struct {
	done  chan struct{} // Closed when ended is set.
	ended bool
}

// endCheckKey identifies an upstream's incarnation.
type endCheckKey struct {
	upstream cleat.UpstreamID
	born     int64
}

// refuseQuarantined refuses a request whose prompt has a block that crashes upstreams.
// It returns false if there is none.
func (x *exchange) refuseQuarantined() bool {
	r := x.role
	r.mu.Lock()
	q := r.poison.Check(r.clock.Now(), x.service, x.info.Prompt.SharedBlocks())
	r.mu.Unlock()
	if q == nil {
		return false
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
		if !ended {
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.poison.RecordFailure(r.clock.Now(), u, id, blocks)
	}
	if isProven {
		go func() { record(r.hasEnded(u)) }()
		return
	}
	record(r.hasEnded(u))
}

// hasEnded reports whether an upstream has ended: its address refuses connections. One
// that doesn't answer at all may as well be out of reach. Concurrent calls for one
// incarnation share a check.
func (r *Role) hasEnded(u cleat.UpstreamRecord) bool {
	k := endCheckKey{u.Upstream, u.StartedAtMillis}
	r.mu.Lock()
	c, running := r.endChecks[k]
	if !running {
		c = &endCheck{done: make(chan struct{})}
		r.endChecks[k] = c
	}
	r.mu.Unlock()
	if running {
		<-c.done
		return c.ended
	}
	conn, err := net.DialTimeout("tcp", u.Address, r.cfg.DialTimeout)
	if err == nil {
		_ = conn.Close() // Nothing was sent on it.
	}
	c.ended = errors.Is(err, syscall.ECONNREFUSED)
	r.decisions.Log(r.clock.Now(), "upstream_checked", "upstream", u.Upstream, "address", u.Address, "ended", c.ended, "err", err)
	r.mu.Lock()
	delete(r.endChecks, k)
	r.mu.Unlock()
	close(c.done)
	return c.ended
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
	for _, q := range added {
		r.log.Warn("prompt block quarantined", append([]any{"service", q.Service}, quarantineFields(now, q)...)...)
	}
	for _, q := range ended {
		r.log.Info("prompt block no longer quarantined", append([]any{"service", q.Service}, quarantineFields(now, q)...)...)
	}
}
