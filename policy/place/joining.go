package place

import (
	"time"
)

// Load pattern of this file: an entry starts while the fleet is overloaded, and callers
// that waited for it come at once. It has heard of nobody else's usage yet.

// maxJoining bounds how long an entry that has just started waits to hear from all
// others: some may be down.
const maxJoining = time.Second

// joining is the time from an entry's start until it has heard from the others.
type joining struct {
	members   int       // Other entries of the fleet, in touch or not.
	known     bool      // The members are known.
	startedAt time.Time // Zero before the first check.
	endedAt   time.Time // Zero until it has heard from all, or maxJoining has passed.
	heard     int       // Other entries in touch at that time.
	admitted  int       // Cost units placed until then.
}

// check updates the state, with the number of others that were heard from recently, and
// reports whether the entry is still joining.
func (s *joining) check(now time.Time, heard int) bool {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	if s.endedAt.IsZero() && ((s.known && heard >= s.members) || now.Sub(s.startedAt) >= maxJoining) {
		s.endedAt, s.heard = now, heard
	}
	return s.endedAt.IsZero()
}

// Joining is how an entry joined the fleet.
type Joining struct {
	Took     time.Duration // From its start until it had heard from the others.
	Members  int           // Other entries of the fleet, in touch or not.
	Heard    int           // Those that it had heard from.
	Admitted int           // Cost units placed until then.
}

// Joined returns how the entry joined the fleet, and whether that is over.
func (p *Planner) Joined(now time.Time) (Joining, bool) {
	s := &p.joining
	if s.check(now, p.livePeers(now)) {
		return Joining{}, false
	}
	return Joining{Took: s.endedAt.Sub(s.startedAt), Members: s.members, Heard: s.heard, Admitted: s.admitted}, true
}
