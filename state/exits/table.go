package exits

import (
	"slices"
	"strings"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/roster"
)

// Limits of the table; the retention is counted while control runs.
const (
	Retention       = roster.WithdrawnRetention
	MaxExits        = 4096 // Further ones are refused until the oldest has expired.
	MaxUnidentified = 1024 // Of these, exits of upstreams that no control instance knew.
)

// Command adds exits, as stored in the replicated log; without any it only advances the clock.
type Command struct {
	// Elapsed is the time for which control has run, as in claim.Command.
	Elapsed time.Duration `msgpack:"e"`
	Exits   []Exit        `msgpack:"x,omitempty"`
}

// Result is the outcome of a command.
type Result struct {
	Refused int `msgpack:"r,omitempty"` // Exits for which the table has no room.
}

// Table holds the exits of the fleet. Equal commands in equal order give equal tables. It is
// not safe for concurrent use.
type Table struct {
	elapsed      time.Duration
	exits        map[cleat.UpstreamID]*keptExit
	unidentified int
	oldest       time.Duration // No kept exit is from an earlier time.
	revision     uint64        // Of this process; incremented with each change.
}

// keptExit is an exit with the revision of its last change.
type keptExit struct {
	Exit
	revision uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{exits: make(map[cleat.UpstreamID]*keptExit)} }

// Elapsed returns the time for which control has run.
func (t *Table) Elapsed() time.Duration { return t.elapsed }

// Len returns how many exits are kept.
func (t *Table) Len() int { return len(t.exits) }

// Revision returns the revision of the last change.
func (t *Table) Revision() uint64 { return t.revision }

// Apply executes a committed command.
func (t *Table) Apply(c Command) Result {
	t.elapsed = max(t.elapsed, c.Elapsed)
	t.expire()
	var result Result
	for _, e := range c.Exits {
		e.At = t.elapsed
		if !t.add(&e) {
			result.Refused++
		}
	}
	return result
}

// add reports whether the table had room for the exit.
func (t *Table) add(e *Exit) bool {
	kept, ok := t.exits[e.Upstream]
	switch {
	case !ok && !t.HasRoom(*e):
		return false
	case !ok:
		kept = &keptExit{Exit: *e}
		t.exits[e.Upstream] = kept
		t.countUnidentified(e, 1)
		if len(t.exits) == 1 {
			t.oldest = e.At
		}
	case kept.includes(e):
		return true
	default:
		t.countUnidentified(&kept.Exit, -1)
		kept.merge(e)
		t.countUnidentified(&kept.Exit, 1)
	}
	t.revision++
	kept.revision = t.revision
	return true
}

// HasRoom reports whether an exit can be added or is kept already.
func (t *Table) HasRoom(e Exit) bool {
	if _, ok := t.exits[e.Upstream]; ok {
		return true
	}
	return len(t.exits) < MaxExits && (e.IsIdentified() || t.unidentified < MaxUnidentified)
}

// Includes reports whether all that an exit promises is kept.
func (t *Table) Includes(e Exit) bool {
	kept, ok := t.exits[e.Upstream]
	return ok && kept.includes(&e)
}

// ByID returns the exit of an upstream.
func (t *Table) ByID(id cleat.UpstreamID) (Exit, bool) {
	kept, ok := t.exits[id]
	if !ok {
		return Exit{}, false
	}
	return kept.Exit, true
}

// Since returns the exits that changed after a revision, sorted by upstream ID.
func (t *Table) Since(revision uint64) []Exit {
	var list []Exit
	for _, kept := range t.exits {
		if kept.revision > revision {
			list = append(list, kept.Exit)
		}
	}
	slices.SortFunc(list, func(a, b Exit) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
	return list
}

// expire removes the exits whose retention has passed.
func (t *Table) expire() {
	if len(t.exits) == 0 || t.elapsed-t.oldest < Retention {
		return
	}
	t.oldest = t.elapsed
	for id, kept := range t.exits {
		if t.elapsed-kept.At >= Retention {
			t.countUnidentified(&kept.Exit, -1)
			delete(t.exits, id)
			continue
		}
		t.oldest = min(t.oldest, kept.At)
	}
}

func (t *Table) countUnidentified(e *Exit, n int) {
	if !e.IsIdentified() {
		t.unidentified += n
	}
}

// Image is a complete table in a snapshot of the log.
type Image struct {
	Elapsed time.Duration `msgpack:"e"`
	Exits   []Exit        `msgpack:"x"` // Sorted by upstream ID.
}

// Save returns the table for a snapshot, or nil if it has never held an exit.
func (t *Table) Save() *Image {
	if t.elapsed == 0 && len(t.exits) == 0 {
		return nil
	}
	return &Image{Elapsed: t.elapsed, Exits: t.Since(0)}
}

// Load replaces the table by that of a snapshot. Without one, from a build that keeps no exits,
// the table stays: an exit that it holds too long keeps nothing but a late announcement out.
func (t *Table) Load(im *Image) {
	if im == nil {
		return
	}
	next := NewTable()
	next.elapsed, next.revision = im.Elapsed, t.revision
	for _, e := range im.Exits {
		next.revision++
		next.exits[e.Upstream] = &keptExit{Exit: e, revision: next.revision}
		next.countUnidentified(&e, 1)
		if len(next.exits) == 1 || e.At < next.oldest {
			next.oldest = e.At
		}
	}
	*t = *next
}
