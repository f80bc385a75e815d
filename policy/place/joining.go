package place

import "time"

// Load pattern of this file: an entry starts while the fleet is overloaded, and callers
// that waited for it come at once. It has heard of nobody else's usage yet, so that the
// whole capacity would seem to be free.

const (
	// maxJoining bounds how long an entry that has just started waits to hear from others:
	// they may be down.
	maxJoining = time.Second
	// joinedFraction is the fraction of the other entries of which it must have heard.
	joinedFraction = 1.0 / 3
	// joiningParts is what an entry may place while it is joining, as a multiple of an
	// equal part of the capacity: callers are spread unevenly over the entries.
	joiningParts = 2
)

// joining is the time from an entry's start until it has heard from the others.
type joining struct {
	members   int       // Other entries of the fleet, in touch or not.
	active    bool      // The members are known, and it hasn't ended.
	startedAt time.Time // Zero before the first check.
	endedAt   time.Time // Zero until it has heard from enough others, or maxJoining has passed.
	heard     int       // Other entries in touch at that time.
	admitted  int       // Cost units placed until then.
}

func (s *joining) setMembers(n int) {
	s.members = n
	s.active = s.endedAt.IsZero()
}

// update ends the joining in time, given the number of other entries in touch. It
// returns whether that changed anything.
func (s *joining) update(now time.Time, heard int) bool {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	if !s.active || (float64(heard) < joinedFraction*float64(s.members) && now.Sub(s.startedAt) < maxJoining) {
		return false
	}
	s.active, s.endedAt, s.heard = false, now, heard
	return true
}

// ownCapacity returns the cost units in a window that the workspaces here share: those of
// all engines or, while this entry is joining, its part of them.
func (u *usageTable) ownCapacity() float64 {
	if !u.joining.active {
		return u.capacity
	}
	return u.capacity * min(1, joiningParts/float64(1+u.joining.members))
}

// updateJoining divides the capacity anew once this entry has heard from enough others.
func (p *Planner) updateJoining(now time.Time) {
	if s := &p.usage.joining; s.endedAt.IsZero() && s.update(now, p.livePeers(now)) {
		p.usage.fairShareAt = time.Time{}
	}
}

// Joining is how an entry joined the fleet.
type Joining struct {
	Took     time.Duration // From its start until it had heard from the others.
	Members  int           // Other entries of the fleet, in touch or not.
	Heard    int           // Those that it had heard from.
	Admitted int           // Cost units placed until then.
}

// Joined returns how the entry joined the fleet, and whether that is over.
func (p *Planner) Joined() (Joining, bool) {
	s := &p.usage.joining
	return Joining{Took: s.endedAt.Sub(s.startedAt), Members: s.members, Heard: s.heard, Admitted: s.admitted}, !s.endedAt.IsZero()
}
