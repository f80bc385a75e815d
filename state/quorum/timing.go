package quorum

import "time"

// observe begins all time spans anew when the clock went back, or forward by
// more than Config.MaxClockGap, so that no lease outlasts a jump and none begins early.
func (c *Core) observe(now time.Time) {
	gap := now.Sub(c.present)
	c.present = now
	if gap >= 0 && gap <= c.cfg.MaxClockGap {
		return
	}
	if c.duty == DutyLeader {
		c.lead.leaseFrom = time.Time{}
		c.lead.sent = nil
		c.lead.quietTill = now.Add(c.cfg.leaseWait())
		c.lead.beatDue = now
	}
	if gap < 0 {
		c.heard = now
		c.resetElection(now)
	}
}

func (c *Core) resetElection(now time.Time) {
	spread := time.Duration(c.rnd.Int63n(int64(c.cfg.ElectionTimeout)/2 + 1))
	c.electionDue = now.Add(c.cfg.ElectionTimeout + spread)
}

// retryElection sets when an election that is not decided is tried again.
func (c *Core) retryElection(now time.Time) {
	half := c.cfg.ElectionTimeout / 2
	c.electionDue = now.Add(half + time.Duration(c.rnd.Int63n(int64(half)+1)))
}

// hasLeader reports whether a leader was heard of within the election timeout.
func (c *Core) hasLeader(now time.Time) bool {
	if c.duty == DutyLeader {
		return true
	}
	return c.leader != "" && now.Sub(c.heard) < c.cfg.ElectionTimeout
}
