package config

import (
	"sort"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
)

// MaxPieceBytes bounds the total size of the written settings in one Settings message.
const MaxPieceBytes = 1 << 20

// Split divides settings into messages that fit a frame; View assembles them
// before any of them takes effect.
func Split(m *cleat.Settings) []*cleat.Settings {
	var pieces []*cleat.Settings
	piece := *m
	piece.Written = nil
	size := 0
	for _, setting := range m.Written {
		if size > 0 && size+settingBytes(setting) > MaxPieceBytes {
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
	hasSettings bool
	revision    cleat.Revision
	settings    map[string]cleat.Setting
	partial     *cleat.Settings // Message whose last piece has not arrived, nil when there is none.
}

// NewView returns a view without settings.
func NewView() *View {
	return &View{settings: make(map[string]cleat.Setting)}
}

// HasSettings reports whether a quorum-confirmed read was applied.
func (v *View) HasSettings() bool { return v.hasSettings }

// Revision returns the revision in force, zero before the first confirmed message.
func (v *View) Revision() cleat.Revision { return v.revision }

// DiscardPieces discards the pieces of an incomplete message after its link was lost.
func (v *View) DiscardPieces() { v.partial = nil }

// Apply applies a message and reports whether the settings in force changed. It
// ignores older messages and returns a trace.CompareFailed error for a delta from
// a later revision. Nothing is in force until the first confirmed message.
func (v *View) Apply(m *cleat.Settings) (bool, error) {
	complete := v.assemble(m)
	if complete == nil {
		return false, nil
	}
	if !v.hasSettings && !complete.Confirmed {
		return false, nil
	}
	if v.hasSettings && complete.To <= v.revision {
		return false, nil
	}
	if !complete.Complete && complete.From > v.revision {
		return false, trace.CompareFailed("View.Apply: a delta from revision %d can't be applied to revision %d", complete.From, v.revision)
	}
	return true, v.apply(complete)
}

// assemble returns the complete message once all its pieces have arrived, else nil.
func (v *View) assemble(m *cleat.Settings) *cleat.Settings {
	if v.partial == nil || v.partial.To != m.To || v.partial.From != m.From {
		first := *m
		v.partial = &first
	} else {
		v.partial.Written = append(v.partial.Written, m.Written...)
		v.partial.Deleted = append(v.partial.Deleted, m.Deleted...)
	}
	if m.More {
		return nil
	}
	complete := v.partial
	v.partial = nil
	return complete
}

// apply puts a complete message in force.
func (v *View) apply(m *cleat.Settings) error {
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
		return trace.BadParameter("View.apply: revision %d is older than %d", m.To, v.revision)
	}
	v.settings, v.revision, v.hasSettings = next, m.To, true
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
