package cleat

// UpstreamExit is what is known of an upstream's exit beside its phase.
type UpstreamExit struct {
	GoneAtMillis int64 `msgpack:"z"` // Unix time of the withdrawal, by the control instance that took it.
	// Unidentified is set if that instance didn't know the incarnation: those that started before
	// GoneAtMillis are gone.
	Unidentified bool `msgpack:"y"`
	// Tentative is set while a later incarnation may have announced itself before all control
	// instances restarted: the record is from the log, or from an announcement just after that.
	Tentative bool `msgpack:"t"`
}

// UpstreamExits precedes an UpstreamUpdate on a link and completes its records. Builds that don't
// know it skip it; they could not decode records with a field more.
type UpstreamExits struct {
	Exits []RecordExit `msgpack:"x"`
}

// RecordExit is the exit of one record of an update. It has no interned strings, so that it can be
// skipped.
type RecordExit struct {
	Index    int          `msgpack:"i"` // Of the record.
	Upstream UpstreamID   `msgpack:"u"`
	Exit     UpstreamExit `msgpack:"e"`
}

// Exits returns the message to send before the update, or nil if none is needed.
func (m *UpstreamUpdate) Exits() *UpstreamExits {
	var list []RecordExit
	for i, r := range m.Records {
		if r.Exit != (UpstreamExit{}) {
			list = append(list, RecordExit{Index: i, Upstream: r.Upstream, Exit: r.Exit})
		}
	}
	if len(list) == 0 {
		return nil
	}
	return &UpstreamExits{Exits: list}
}

// AddExits completes the records with what preceded the update on its link, nil for nothing.
func (m *UpstreamUpdate) AddExits(x *UpstreamExits) {
	if x == nil {
		return
	}
	for _, e := range x.Exits {
		if e.Index >= 0 && e.Index < len(m.Records) && m.Records[e.Index].Upstream == e.Upstream {
			m.Records[e.Index].Exit = e.Exit
		}
	}
}
