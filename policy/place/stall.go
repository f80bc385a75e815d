package place

import (
	"cmp"
	"slices"
	"time"
)

// Load pattern of this file: engines hang a part of their requests, or send the head of an
// answer and no event, while they run the others. Such a job would hold its slot and count
// as backlog at all entries until its caller leaves. Engines admit requests in the order of
// arrival, so a job that has no first event is stalled once another one that was sent clearly
// later has begun, at whichever entry. An engine that begins nothing passes no job over: one
// without a first event is overdue there after a multiple of the wait that was expected.

const (
	// stallMargin is how much later the other job must have been sent: connections and
	// links delay requests.
	stallMargin = 200 * time.Millisecond
	// fetchStallMargin is added for a job whose engine fetches cached blocks first.
	fetchStallMargin = 500 * time.Millisecond
	// stallPrefillFactor is the time granted to a job's own prefill, as a multiple: engines
	// interleave the prompts of several requests.
	stallPrefillFactor = 2
	// stallDelayDecay is the factor by which the high-water mark of late calls of Stalled
	// decays with each call: a process that was stopped first reads what has arrived.
	stallDelayDecay = 0.8
	// stallLagFactor is how much later an event may be recorded and a request sent at an entry
	// that is short of processor time, as a multiple of its lag.
	stallLagFactor = 2
	// maxPending and overdueFactor are how long a job without a first event counts as one that
	// may still start: a time and a multiple of the wait that was expected.
	maxPending, overdueFactor = 500 * time.Millisecond, 3
	// minClockReports is the number of reports from which another entry's clock is known:
	// the first ones may be delayed.
	minClockReports = 3
)

// StallCheckInterval is the time between calls of Planner.Stalled.
const StallCheckInterval = 50 * time.Millisecond

// stallChecks is how punctual the calls of Stalled are.
type stallChecks struct {
	last  time.Time
	delay time.Duration // Decaying high-water mark.
}

// update applies a call and returns the delay.
func (c *stallChecks) update(now time.Time) time.Duration {
	c.delay = time.Duration(stallDelayDecay * float64(c.delay))
	if !c.last.IsZero() {
		c.delay = max(c.delay, now.Sub(c.last)-StallCheckInterval)
	}
	c.last = now
	return c.delay
}

// recordBegun records that the upstream has begun a job that was sent at a time.
func (u *upstream) recordBegun(sentAt time.Time) {
	if sentAt.After(u.begunSentAt) {
		u.begunSentAt = sentAt
	}
}

// recordOwnBegun records the first event of a job of this entry. Only a stream's first event
// tells that the upstream has begun the job: other answers may come without a run.
func (u *upstream) recordOwnBegun(j *Job) {
	if u.engine == nil {
		return
	}
	u.recordBegun(j.sentAt)
	if j.sentAt.After(u.ownBegunSentAt) {
		u.ownBegunSentAt = j.sentAt
	}
}

// prefillTime returns how long the upstream takes to prefill a number of tokens.
func (u *upstream) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens)/u.prefillRate) * time.Millisecond
}

// isPassedOver reports whether the upstream has passed over a job of this entry.
func (u *upstream) isPassedOver(lag time.Duration, j *Job) bool {
	allowed := stallMargin + stallLagFactor*lag + stallPrefillFactor*u.prefillTime(j.prefill)
	if j.fetches {
		allowed += fetchStallMargin
	}
	return u.begunSentAt.Sub(j.sentAt) > allowed
}

// isOverdue reports whether a job without a first event is unlikely to get one.
func (u *upstream) isOverdue(now time.Time, lag time.Duration, j *Job) bool {
	return now.Sub(j.sentAt) > maxPending+stallLagFactor*lag+overdueFactor*u.prefillTime(j.backlogAhead+j.prefill)
}

// Stalled returns the jobs of this entry, by ID, whose attempts are to end: those that their
// upstreams have passed over or that are overdue, the last attempt of a request only if both
// hold. Each is returned once. From the first sign on it is no backlog. Stalled is called at
// intervals; an entry reads first events late by its lag.
func (p *Planner) Stalled(now time.Time, lag time.Duration) []*Job {
	lag = max(lag, p.stalls.update(now))
	var list []*Job
	for _, j := range p.jobs {
		u := j.upstream
		if u == nil || u.engine == nil || j.hasFirstEvent || j.ended {
			continue
		}
		passedOver, overdue := u.isPassedOver(lag, j), u.isOverdue(now, lag, j)
		if !passedOver && !overdue {
			continue
		}
		if !j.stalled {
			u.removeBacklog(j)
			j.stalled = true
			p.usage.setPending(now, j, false)
		}
		if !j.LastAttempt || passedOver && overdue {
			j.ended = true
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *Job) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// begunAge returns for a report how long ago the newest job of this entry that the upstream
// has begun was sent, in milliseconds; zero for none since the last peerMaxAge.
func (u *upstream) begunAge(now time.Time) uint32 {
	if age := now.Sub(u.ownBegunSentAt); age < peerMaxAge {
		return uint32(max(1, age.Milliseconds()))
	}
	return 0
}

// clock relates another entry's clock to this one's. A report that is delayed shows a later
// start of that clock, so the earliest one seen counts.
type clock struct {
	millis  uint32    // Of the last report.
	start   time.Time // When the other clock was zero, if the fastest report took no time.
	reports int
}

// update applies a report that arrives now. An entry that restarted begins at zero again.
func (c *clock) update(now time.Time, millis uint32) {
	start := now.Add(-time.Duration(millis) * time.Millisecond)
	if millis < c.millis {
		*c = clock{}
	}
	if c.reports == 0 || start.Before(c.start) {
		c.start = start
	}
	c.millis = millis
	c.reports++
}

// at returns the time at which the last report was sent.
func (c *clock) at() time.Time { return c.start.Add(time.Duration(c.millis) * time.Millisecond) }

// reportClock returns the milliseconds since the planner's first report.
func (p *Planner) reportClock(now time.Time) uint32 {
	if p.firstReportAt.IsZero() {
		p.firstReportAt = now
	}
	return uint32(now.Sub(p.firstReportAt).Milliseconds())
}

// applyBegun applies what another entry reports as begun.
func (p *Planner) applyBegun(q *peer) {
	if q.clock.reports < minClockReports {
		return
	}
	for _, l := range q.loads {
		if u, ok := p.upstreams[l.Upstream]; ok && l.BegunAge > 0 {
			u.recordBegun(q.clock.at().Add(-time.Duration(l.BegunAge) * time.Millisecond))
		}
	}
}
