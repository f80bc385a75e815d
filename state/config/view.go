package config

import (
	"sort"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
)

// PieceBytes bounds the documents in one Settings message.
const PieceBytes = 1 << 20

// Split cuts settings into messages that fit a frame; the view puts them
// together before any of them is in force.
func Split(m *cleat.Settings) []*cleat.Settings {
	var pieces []*cleat.Settings
	piece := *m
	piece.Written = nil
	size := 0
	for _, setting := range m.Written {
		if size > 0 && size+settingBytes(setting) > PieceBytes {
			full := piece
			full.More = true
			pieces = append(pieces, &full)
			piece.Written, piece.Deleted, size = nil, nil, 0
		}
		piece.Written = append(piece.Written, setting)
		size += settingBytes(setting)
	}
	return append(pieces, &piece)
}

// View is a node's copy of the settings; its revision only rises. It is not
// safe for concurrent use.
type View struct {
	known    bool
	revision cleat.Revision
	settings map[string]cleat.Setting
	pieces   *cleat.Settings
}

// NewView returns a view that knows no settings yet.
func NewView() *View {
	return &View{settings: make(map[string]cleat.Setting)}
}

// Known reports whether a quorum-confirmed read was taken in.
func (v *View) Known() bool { return v.known }

// Revision returns the revision in force, zero while none is known.
func (v *View) Revision() cleat.Revision { return v.revision }

// Forget drops pieces of a message whose link broke.
func (v *View) Forget() { v.pieces = nil }

// Add takes a message in and reports whether the settings in force changed.
// Older messages and deltas that don't fit are left out; until the first
// confirmed message nothing is in force.
func (v *View) Add(m *cleat.Settings) (bool, error) {
	whole := v.join(m)
	if whole == nil {
		return false, nil
	}
	if !v.known && !whole.Confirmed {
		return false, nil
	}
	if v.known && whole.To <= v.revision {
		return false, nil
	}
	if !whole.Complete && whole.From > v.revision {
		return false, trace.CompareFailed("View.Add: a delta from revision %d does not fit revision %d", whole.From, v.revision)
	}
	return true, v.take(whole)
}

// join returns the message once all its pieces are here.
func (v *View) join(m *cleat.Settings) *cleat.Settings {
	if v.pieces == nil || v.pieces.To != m.To || v.pieces.From != m.From {
		first := *m
		v.pieces = &first
	} else {
		v.pieces.Written = append(v.pieces.Written, m.Written...)
		v.pieces.Deleted = append(v.pieces.Deleted, m.Deleted...)
	}
	if m.More {
		return nil
	}
	whole := v.pieces
	v.pieces = nil
	return whole
}

// take puts a fitting message in force.
func (v *View) take(m *cleat.Settings) error {
	next := make(map[string]cleat.Setting, len(v.settings)+len(m.Written))
	if !m.Complete {
		for path, setting := range v.settings {
			next[path] = setting
		}
	}
	for _, path := range m.Deleted {
		delete(next, path)
	}
	for _, setting := range m.Written {
		next[setting.Path] = setting
	}
	if m.To < v.revision {
		assert.Fail("config.revision", "revision %d would replace revision %d", m.To, v.revision)
		return trace.BadParameter("View.take: revision %d is older than %d", m.To, v.revision)
	}
	v.settings, v.revision, v.known = next, m.To, true
	return nil
}

// Snapshot returns the settings in force, sorted by path.
func (v *View) Snapshot() cleat.Snapshot {
	s := cleat.Snapshot{Revision: v.revision, Settings: make([]cleat.Setting, 0, len(v.settings))}
	for _, setting := range v.settings {
		s.Settings = append(s.Settings, setting)
	}
	sort.Slice(s.Settings, func(i, j int) bool { return s.Settings[i].Path < s.Settings[j].Path })
	return s
}
