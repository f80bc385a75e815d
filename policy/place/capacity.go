package place

import "time"

// Load pattern of this file: the engines serve less than the manifest states, because some
// of them fail, hang, are slow, cold or gone. All workspaces are within their shares of the
// stated capacity then, and a light one is refused for lack of room as often as a heavy one.
// The capacity in use is lowered towards what is started, until no job within its
// workspace's share is refused for lack of room.

const (
	// saturatedRatio is the ratio of what is refused for lack of room to what is placed
	// above which the engines serve less than the capacity in use.
	saturatedRatio = 0.1
	// saturatedTime is how long that must last before the capacity is lowered, and the time
	// between two steps down: when a crowd arrives little has been placed yet, and a step
	// takes a while to show.
	saturatedTime = time.Second
	// firstCapacityStep and capacityStep bound a step down from the stated capacity and
	// from a lower one, as parts of it.
	firstCapacityStep, capacityStep = 0.4, 0.8
	// capacityRise is the part by which the capacity in use rises in a second without such
	// refusals.
	capacityRise = 0.3
	// minCapacityPart bounds the capacity in use from below, as a part of the stated one.
	minCapacityPart = 0.05
	// capacityInterval is how often the capacity in use is computed.
	capacityInterval = 100 * time.Millisecond
)

// flow is what became of recent jobs, in cost units.
type flow struct {
	placed  int
	started int
	noRoom  int // Refused for lack of room, within shares.
}

func (f *flow) add(o flow, sign int) {
	f.placed += sign * o.placed
	f.started += sign * o.started
	f.noRoom += sign * o.noRoom
}

// servedCapacity is the part of the stated capacity that the engines serve, as far as
// refusals show.
type servedCapacity struct {
	part           float64   // Of the stated capacity, at most 1; zero stands for 1.
	updatedAt      time.Time // Zero before the first update.
	saturatedSince time.Time // Zero while the refusals are few.
	peers          flow      // At other entries.
	peerParts      float64   // Sum of the parts that other entries report.
	reporting      int       // Entries that report one.
}

// value returns the part of the stated capacity by this entry's figures.
func (c *servedCapacity) value() float64 {
	if c.part == 0 {
		return 1
	}
	return c.part
}

// inUse returns the part that is divided into shares: the mean over all entries, so that
// they agree on the shares.
func (c *servedCapacity) inUse() float64 {
	return min(1, max(minCapacityPart, (c.value()+c.peerParts)/float64(1+c.reporting)))
}

// update applies what all entries recently started, and the ratio of what was refused for
// lack of room within shares to what was placed. What was started is a part of the stated
// capacity.
func (c *servedCapacity) update(now time.Time, started, refusedRatio float64) {
	dt := now.Sub(c.updatedAt)
	if c.updatedAt.IsZero() {
		dt = 0
	}
	c.updatedAt = now
	if refusedRatio <= saturatedRatio {
		c.saturatedSince = time.Time{}
		c.part = min(1, c.value()*(1+capacityRise*dt.Seconds()))
		return
	}
	if c.saturatedSince.IsZero() {
		c.saturatedSince = now
	}
	if now.Sub(c.saturatedSince) < saturatedTime {
		return
	}
	c.saturatedSince = now
	step := capacityStep
	if c.value() == 1 {
		step = firstCapacityStep
	}
	c.part = min(c.value(), max(started, step*c.value(), minCapacityPart))
}

// addPeer adds what another entry reports, or subtracts it with sign -1.
func (c *servedCapacity) addPeer(q *peer, sign int) {
	c.peers.add(q.flow, sign)
	if q.capacityPart > 0 {
		c.peerParts += float64(sign) * q.capacityPart
		c.reporting += sign
	}
}

// updateCapacity computes the capacity in use at intervals.
func (u *usageTable) updateCapacity(now time.Time) {
	c := &u.served
	if u.stated == 0 || now.Sub(c.updatedAt) < capacityInterval {
		return
	}
	all := u.recentFlow(now)
	all.add(c.peers, 1)
	span := min(now.Sub(u.epoch), u.window*recentBuckets/windowBuckets)
	if u.joining.active || span < u.window/windowBuckets {
		return
	}
	started := float64(all.started) * float64(u.window) / float64(span) / u.stated
	c.update(now, started, float64(all.noRoom)/float64(max(1, all.placed)))
	u.setCapacity()
}

// setCapacity sets the capacity in use. Debts are reduced with it, so that they are paid
// back in the same time at a lower rate.
func (u *usageTable) setCapacity() {
	before := u.capacity
	u.capacity = u.stated * u.served.inUse()
	if before == 0 || u.capacity >= before {
		return
	}
	for _, r := range u.rows {
		for _, c := range []*credit{&r.credit, &r.spareCredit} {
			if c.units < 0 {
				c.units *= u.capacity / before
			}
		}
	}
}

// adoptCapacity lets an entry that is joining begin with what another one has learnt.
func (u *usageTable) adoptCapacity(part float64) {
	if u.joining.active && part > 0 {
		u.served.part = part
		u.setCapacity()
	}
}

// recentFlow returns the flow at this entry.
func (u *usageTable) recentFlow(now time.Time) flow {
	var f flow
	for w := range u.rows {
		r := u.row(now, w)
		for i := range int64(recentBuckets) {
			n := (r.newest + windowBuckets - i) % windowBuckets
			f.add(flow{placed: r.admitted[n], started: r.started[n], noRoom: r.noRoom[n]}, 1)
		}
	}
	f.placed = max(f.placed, 0) // What was taken back may have been counted in an earlier bucket.
	return f
}

// countNoRoom counts a job within its workspace's share that is refused because no engine
// has room for it in time.
func (u *usageTable) countNoRoom(now time.Time, j *Job, reason Reason) {
	if reason != ReasonOverload || j.charged == nil {
		return
	}
	if r := u.row(now, j.Workspace); j.charged == &r.credit {
		r.noRoom[r.newest%windowBuckets] += j.costUnits()
	}
}
