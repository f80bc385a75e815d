package exits

import (
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/roster"
)

// MaxFieldBytes bounds each text of an exit.
const MaxFieldBytes = 255

// Exit is the announced exit of an upstream's incarnation. It has no interned strings, so that
// builds that don't know it can skip it.
type Exit struct {
	Upstream        cleat.UpstreamID    `msgpack:"u"`
	Phase           cleat.UpstreamPhase `msgpack:"p"` // UpstreamLeaving or UpstreamGone.
	StartedAtMillis int64               `msgpack:"b"` // As in cleat.UpstreamRecord; zero if no incarnation is known.
	AnnouncedStart  int64               `msgpack:"w,omitempty"`
	Unidentified    bool                `msgpack:"y,omitempty"` // As in cleat.UpstreamExit.
	Sequence        uint64              `msgpack:"q,omitempty"`
	Service         cleat.ServiceName   `msgpack:"s,omitempty"`
	Address         string              `msgpack:"a,omitempty"`
	Domain          cleat.DomainID      `msgpack:"d,omitempty"`
	Slots           int                 `msgpack:"n,omitempty"`
	Version         string              `msgpack:"v,omitempty"`

	AtMillis int64 `msgpack:"m"` // Unix time of the announcement, by the control instance that took it.

	// At is the elapsed time of the command that committed the exit; Apply sets it.
	At time.Duration `msgpack:"t"`
}

// Of returns the exit that a record announces now.
func Of(now time.Time, r cleat.UpstreamRecord) Exit {
	e := Exit{
		AtMillis: now.UnixMilli(),
		Upstream: r.Upstream, Phase: r.Phase, StartedAtMillis: r.StartedAtMillis, AnnouncedStart: r.AnnouncedStart, Unidentified: r.Exit.Unidentified,
		Sequence: r.Sequence, Service: r.Service, Address: r.Address, Domain: r.Domain, Slots: r.Slots, Version: r.Version,
	}
	if r.Exit.GoneAtMillis != 0 {
		e.AtMillis = r.Exit.GoneAtMillis
	}
	return e
}

// Record returns the record that announced the exit.
func (e Exit) Record() cleat.UpstreamRecord {
	return cleat.UpstreamRecord{
		Upstream: e.Upstream, Phase: e.Phase, StartedAtMillis: e.StartedAtMillis, AnnouncedStart: e.AnnouncedStart, Exit: e.upstreamExit(),
		Sequence: e.Sequence, Service: e.Service, Address: e.Address, Domain: e.Domain, Slots: e.Slots, Version: e.Version,
	}
}

// Check returns a trace.BadParameter error for an exit that is too large to be kept.
func (e Exit) Check() error {
	if e.Upstream == "" {
		return trace.BadParameter("Exit.Check: the id of the upstream is empty")
	}
	for name, n := range map[string]int{
		"id": len(e.Upstream), "service": len(e.Service), "address": len(e.Address), "domain": len(e.Domain), "version": len(e.Version),
	} {
		if n > MaxFieldBytes {
			return trace.BadParameter("Exit.Check: the %s of the upstream has %d bytes, more than %d", name, n, MaxFieldBytes)
		}
	}
	return nil
}

// upstreamExit returns what the record says of the exit. One that only leaves may have been
// followed by a later incarnation.
func (e *Exit) upstreamExit() cleat.UpstreamExit {
	if e.Phase != cleat.UpstreamGone {
		return cleat.UpstreamExit{Tentative: true}
	}
	return cleat.UpstreamExit{GoneAtMillis: e.AtMillis, Unidentified: e.Unidentified}
}

// IsIdentified reports whether the exit names the incarnation that it ends.
func (e *Exit) IsIdentified() bool { return e.StartedAtMillis != 0 }

// includes reports whether e promises all that other does.
func (e *Exit) includes(other *Exit) bool {
	switch {
	case other.Unidentified:
		w, earlier := other.Record(), e.Record()
		earlier.Exit.GoneAtMillis = e.AtMillis
		return roster.IsRepetition(&w, &earlier)
	case e.StartedAtMillis != other.StartedAtMillis:
		return e.StartedAtMillis > other.StartedAtMillis
	case e.Phase == cleat.UpstreamGone:
		return true
	}
	return other.Phase != cleat.UpstreamGone && other.Sequence <= e.Sequence
}

// merge adds what other promises about the same upstream and isn't included yet.
func (e *Exit) merge(other *Exit) {
	if other.StartedAtMillis >= e.StartedAtMillis {
		*e = *other
		return
	}
	e.Phase, e.Unidentified, e.AtMillis, e.At = cleat.UpstreamGone, true, other.AtMillis, other.At
}
