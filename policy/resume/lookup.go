package resume

import (
	"slices"
	"strings"
	"time"

	"marigoldcleat.example/cleat"
)

// StartTime is how long after its start an entry may lack links to processes that know
// streams. No answers say nothing then.
const StartTime = 2 * time.Second

// Source is a process that is asked where a stream began.
type Source struct {
	Instance cleat.InstanceID
	Control  bool // A control instance, otherwise an entry.
}

// answer is what a source has said of a stream.
type answer uint8

const (
	answerNone    answer = iota // Asked, no answer yet.
	answerUnknown               // The source doesn't know the stream.
	answerLost                  // The link went down before the answer.
)

// Reach is what an entry knows of its links when it decides whether to wait longer.
type Reach struct {
	Uptime  time.Duration // Since the entry's start.
	Missing int           // Other entries that are members of the fleet and have no link.
}

// Lookup collects what other processes say of one stream.
type Lookup struct {
	answers map[Source]answer
	known   bool
	foundBy Source        // The first to know the stream; set with known.
	oldest  time.Duration // Longest time for which a control instance that answered has been told of all streams.
}

// NewLookup returns a lookup that nobody was asked in.
func NewLookup() *Lookup { return &Lookup{answers: make(map[Source]answer)} }

// Ask records that a source is asked. It returns false if it was asked before.
func (l *Lookup) Ask(s Source) bool {
	if a, ok := l.answers[s]; ok && a != answerLost {
		return false
	}
	l.answers[s] = answerNone
	return true
}

// Answer records a source's answer. knownFor is set for control instances; see
// cleat.StreamReport.
func (l *Lookup) Answer(s Source, known bool, knownFor time.Duration) {
	if known && !l.known {
		l.known, l.foundBy = true, s
	}
	l.answers[s] = answerUnknown
	l.oldest = max(l.oldest, knownFor)
}

// FoundBy returns "control" or "entry" for the kind of process that knew the stream.
func (l *Lookup) FoundBy() string {
	if l.foundBy.Control {
		return "control"
	}
	return "entry"
}

// Lose records that the link to a source went down.
func (l *Lookup) Lose(s Source) {
	if a, ok := l.answers[s]; ok && a == answerNone {
		l.answers[s] = answerLost
	}
}

// IsDone reports whether there is nothing left to wait for: the stream is known, or
// all that were asked have answered and, shortly after the entry's start, a control
// instance and all other entries are among them.
func (l *Lookup) IsDone(r Reach) bool {
	if l.known {
		return true
	}
	control := false
	for s, a := range l.answers {
		if a == answerNone {
			return false
		}
		control = control || (s.Control && a == answerUnknown)
	}
	return r.Uptime >= StartTime || (control && r.Missing == 0)
}

// Summary describes for an operator who answered: counts of entries and the ids of
// control instances. Silent ones were asked and have not answered.
type Summary struct {
	ControlsUnknown, ControlsSilent string // Joined by commas.
	EntriesUnknown                  int
	EntriesSilent                   string
	KnownFor                        time.Duration // The longest of the control instances that answered.
}

// Summary returns who has answered so far.
func (l *Lookup) Summary() Summary {
	var controls, controlsSilent, silent []string
	s := Summary{KnownFor: l.oldest}
	for src, a := range l.answers {
		switch {
		case src.Control && a == answerUnknown:
			controls = append(controls, string(src.Instance))
		case src.Control:
			controlsSilent = append(controlsSilent, string(src.Instance))
		case a == answerUnknown:
			s.EntriesUnknown++
		default:
			silent = append(silent, string(src.Instance))
		}
	}
	s.ControlsUnknown, s.ControlsSilent, s.EntriesSilent = join(controls), join(controlsSilent), join(silent)
	return s
}

func join(list []string) string {
	slices.Sort(list)
	return strings.Join(list, ",")
}
