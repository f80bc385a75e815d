package quorum

import "time"

// observeClock restarts the leader's lease timing if the clock went back, or
// forward by more than Config.MaxClockGap, so that no lease outlasts a clock jump
// and none starts early. If it went back, the election timer restarts as well.
func (c *Core) observeClock(now time.Time) {
	gap := now.Sub(c.lastTime)
	c.lastTime = now
	if gap >= 0 && gap <= c.cfg.MaxClockGap {
		return
	}
	if c.role == RoleLeader {
		c.leaderState.leaseStart = time.Time{}
		c.leaderState.unconfirmed = nil
		c.leaderState.leaseWaitUntil = now.Add(c.cfg.leaseWait())
		c.leaderState.heartbeatDue = now
	}
	if gap < 0 {
		c.lastContact = now
		c.resetElectionTimer(now)
	}
}

func (c *Core) resetElectionTimer(now time.Time) {
	jitter := time.Duration(c.rnd.Int63n(int64(c.cfg.ElectionTimeout)/2 + 1))
	c.electionDue = now.Add(c.cfg.ElectionTimeout + jitter)
}

// scheduleElectionRetry sets the time at which an undecided election is retried.
func (c *Core) scheduleElectionRetry(now time.Time) {
	half := c.cfg.ElectionTimeout / 2
	c.electionDue = now.Add(half + time.Duration(c.rnd.Int63n(int64(half)+1)))
}

// hasLeader reports whether there was contact with a leader within the election
// timeout, or whether this replica is the leader.
func (c *Core) hasLeader(now time.Time) bool {
	if c.role == RoleLeader {
		return true
	}
	return c.leader != "" && now.Sub(c.lastContact) < c.cfg.ElectionTimeout
}
