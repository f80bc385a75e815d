package place

import "time"

// Load pattern of this file: the engines serve less than the manifest states, because some
// of them fail, are slow, cold or gone. All workspaces are within their shares of the stated
// capacity then, and a light one is refused for lack of room as often as a heavy one. The
// capacity in use is lowered to what is placed, until no job within its workspace's share
// is refused for lack of room.

const (
	// pressedRefusals is the part of what is placed above which refusals for lack of room
	// mean that the engines serve less than the capacity in use.
	pressedRefusals = 0.1
	// pressedDelay is how long that must last before the capacity is lowered, and the time
	// between two steps down: at the begin of a crowd little has been placed yet, and a
	// step takes a while to show.
	pressedDelay = 1500 * time.Millisecond
	// capacityHeadroom is what remains for placed jobs to grow, as a multiple of them.
	capacityHeadroom = 1.2
	// capacityStep bounds a step down, as a fraction of the capacity in use, unless that is
	// the stated one.
	capacityStep = 0.9
	// capacityRise is the part by which the capacity in use rises in a second without such
	// refusals.
	capacityRise = 0.3
	// minCapacityPart bounds the capacity in use from below, as a part of the stated one.
	minCapacityPart = 0.05
	// capacityInterval is how often the capacity in use is computed.
	capacityInterval = 100 * time.Millisecond
)

// servedCapacity is the part of the stated capacity that the engines serve, as far as
// refusals show.
type servedCapacity struct {
	part         float64   // Of the stated capacity, at most 1; zero stands for 1.
	updatedAt    time.Time // Zero before the first update.
	pressedSince time.Time // Zero while the refusals are few.
}

// value returns the part of the stated capacity that is in use.
func (c *servedCapacity) value() float64 {
	if c.part == 0 {
		return 1
	}
	return c.part
}

// update applies what all entries recently placed, and what they refused for lack of room
// within shares, as parts of the stated capacity.
func (c *servedCapacity) update(now time.Time, placed, refused float64) {
	dt := now.Sub(c.updatedAt)
	if c.updatedAt.IsZero() {
		dt = 0
	}
	c.updatedAt = now
	if refused <= pressedRefusals*placed {
		c.pressedSince = time.Time{}
		c.part = min(1, c.value()*(1+capacityRise*dt.Seconds()))
		return
	}
	if c.pressedSince.IsZero() {
		c.pressedSince = now
	}
	if now.Sub(c.pressedSince) < pressedDelay {
		return
	}
	c.pressedSince = now
	least := minCapacityPart
	if c.value() < 1 {
		least = capacityStep * c.value()
	}
	c.part = min(c.value(), max(capacityHeadroom*placed, least))
}

// adoptCapacity lets an entry that is joining begin with what another one has learnt.
func (u *usageTable) adoptCapacity(part float64) {
	if u.joining.active && part > 0 && part < 1 {
		u.served.part = part
		u.capacity = u.stated * part
	}
}

// updateCapacity computes the capacity in use at intervals.
func (u *usageTable) updateCapacity(now time.Time) {
	c := &u.served
	if u.stated == 0 || u.joining.active || now.Sub(c.updatedAt) < capacityInterval {
		return
	}
	own := u.recentFlow(now)
	span := min(now.Sub(u.epoch), u.window*recentBuckets/windowBuckets)
	if u.epoch.IsZero() || span < u.window/windowBuckets {
		return
	}
	scale := float64(u.window) / float64(span) / u.stated
	before := c.value()
	c.update(now, scale*float64(own.placed+u.peerFlow.placed), scale*float64(own.refused+u.peerFlow.refused))
	u.capacity = u.stated * c.value()
	if ratio := c.value() / before; ratio < 1 {
		u.reduceDebts(ratio)
	}
}

// reduceDebts reduces the debts of all credits, so that they are paid back in the same time
// at rates that have been lowered by a ratio.
func (u *usageTable) reduceDebts(ratio float64) {
	for _, r := range u.rows {
		for _, c := range []*credit{&r.credit, &r.spareCredit} {
			if c.units < 0 {
				c.units *= ratio
			}
		}
	}
}

// flow is what was placed, and what was refused for lack of room within shares, in cost
// units in the newest buckets.
type flow struct {
	placed, refused int
}

// recentFlow returns the flow at this entry.
func (u *usageTable) recentFlow(now time.Time) flow {
	var f flow
	for w := range u.rows {
		r := u.row(now, w)
		for i := range int64(recentBuckets) {
			n := (r.newest + windowBuckets - i) % windowBuckets
			f.placed += r.admitted[n]
			f.refused += r.noRoom[n]
		}
	}
	f.placed, f.refused = max(f.placed, 0), max(f.refused, 0)
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
