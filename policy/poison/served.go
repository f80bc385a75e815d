package poison

import (
	"math"
	"time"
)

// servedPeriod is how long a generation of served blocks is filled.
const servedPeriod = 15 * time.Second

// servedBlocks remembers when blocks were last part of an answer that began, for one to
// two periods.
type servedBlocks struct {
	limit         int
	current, last map[blockKey]time.Time
	turnedAt      time.Time
}

func newServedBlocks(limit int) servedBlocks {
	return servedBlocks{limit: limit, current: make(map[blockKey]time.Time)}
}

func (s *servedBlocks) add(now time.Time, k blockKey) {
	if len(s.current) >= s.limit || now.Sub(s.turnedAt) >= servedPeriod {
		s.last, s.current, s.turnedAt = s.current, make(map[blockKey]time.Time), now
	}
	s.current[k] = now
}

// within reports whether the block was served in the given time before now.
func (s *servedBlocks) within(now time.Time, k blockKey, d time.Duration) bool {
	at, ok := s.current[k]
	if !ok {
		at, ok = s.last[k]
	}
	return ok && now.Sub(at) <= d
}

// outcomePeriod is how long a generation of outcomes is filled.
const outcomePeriod = 5 * time.Second

// outcomes counts recent requests, to tell how often one breaks off by chance.
type outcomes struct {
	current, last struct{ begun, broken int }
	turnedAt      time.Time
}

func (o *outcomes) turn(now time.Time) {
	if now.Sub(o.turnedAt) >= outcomePeriod {
		o.last, o.turnedAt = o.current, now
		o.current.begun, o.current.broken = 0, 0
	}
}

// priorBegun is a number of answers that are assumed to have begun, for an entry that
// has seen few.
const priorBegun = 20

// breakRate returns the fraction of recent requests whose upstream ended before it
// answered, without a number of them.
func (o *outcomes) breakRate(without int) float64 {
	broken := float64(1 + max(0, o.current.broken+o.last.broken-without))
	return broken / (broken + priorBegun + float64(o.current.begun+o.last.begun))
}

// crashesNeeded returns how many failures in a row of a block chance doesn't explain,
// by how often requests without the block break off at this entry.
func (t *Table) crashesNeeded(now time.Time, s *suspect) int {
	own := 0
	for _, f := range s.failures {
		if f.isLocal && now.Sub(f.at) < 2*outcomePeriod {
			own++
		}
	}
	n := int(math.Ceil(math.Log(t.cfg.Chance) / math.Log(t.outcomes.breakRate(own))))
	return min(max(n, t.cfg.MinCrashes), t.cfg.MaxCrashes)
}
