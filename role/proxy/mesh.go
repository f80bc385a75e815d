package proxy

import (
	"context"
	"maps"
	"slices"
	"time"

	"marigoldcleat.example/cleat"
)

// entryLink is another entry and the link to it.
type entryLink struct {
	address string
	link    cleat.Link
}

// meshHandler handles the links to other entries.
type meshHandler Role

// LinkUp stores the link so that reports are sent on it.
func (h *meshHandler) LinkUp(l cleat.Link) {
	r := (*Role)(h)
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[l.Peer().Instance]
	if !ok {
		e = &entryLink{}
		r.entries[l.Peer().Instance] = e
	}
	e.link = l
	r.log.Info("link to an entry up", "entry", l.Peer().Instance)
	r.handleLookupLink(l, true)
	now := r.clock.Now()
	r.planner.RecordLinked(l.Peer().Instance)
	r.broadcast([]cleat.Link{l}, r.planner.Introduction(now))
	m := r.poison.Complete(now)
	if m == nil {
		m = &cleat.CrashReport{}
	}
	if r.requests.Complete(now, m); !m.IsEmpty() {
		r.broadcast([]cleat.Link{l}, m)
	}
}

// LinkDown removes the link.
func (h *meshHandler) LinkDown(l cleat.Link, err error) {
	r := (*Role)(h)
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.entries[l.Peer().Instance]; ok && e.link == l {
		e.link = nil
		r.planner.RecordLost(r.clock.Now(), l.Peer().Instance)
		r.handleLookupLink(l, false)
	}
	r.log.Info("link to an entry lost", "entry", l.Peer().Instance, "err", err)
}

// LinkMessage applies another entry's report or answers its question.
func (h *meshHandler) LinkMessage(l cleat.Link, m cleat.Message) {
	r := (*Role)(h)
	switch m := m.(type) {
	case *cleat.PlacementReport:
		r.mu.Lock()
		defer r.mu.Unlock()
		r.planner.ApplyReport(r.clock.Now(), l.Peer().Instance, m)
		if len(m.Cold) > 0 {
			r.logCold(r.clock.Now())
		}
		if len(m.Limits) > 0 {
			r.logRateLimits()
			r.wakeIfWaiting()
		}
	case *cleat.StreamReport:
		r.applyStreams(l, m)
	case *cleat.StreamQuery:
		r.answerStreams(l, m)
	case *cleat.CrashReport:
		r.mu.Lock()
		defer r.mu.Unlock()
		now := r.clock.Now()
		r.poison.Apply(now, m)
		r.requests.Apply(now, m)
		r.quarantined.Store(int64(r.poison.Quarantined()))
		r.suspects.Store(int64(r.requests.Suspects()))
	default:
		r.log.Debug("unexpected message", "kind", m.Kind(), "from", l.Peer().Instance)
	}
}

// linkedEntries returns the links to other entries, sorted by instance. The caller
// holds r.mu.
func (r *Role) linkedEntries() []cleat.Link {
	links := make([]cleat.Link, 0, len(r.entries))
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		if l := r.entries[id].link; l != nil {
			links = append(links, l)
		}
	}
	return links
}

// broadcast sends messages over links, all of a link at once, so that they share a
// write. One that can't be sent is lost: its link is about to go down.
func (r *Role) broadcast(links []cleat.Link, messages ...cleat.Message) {
	for _, l := range links {
		for _, m := range messages {
			if err := l.Send(m); err != nil {
				r.log.Debug("message not sent", "kind", m.Kind(), "entry", l.Peer().Instance, "err", err)
			}
		}
	}
}

// applyMembers keeps links to the other entries. Of each pair of entries, the one whose
// name sorts first dials the other.
func (r *Role) applyMembers(list []cleat.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.membersKnown = true
	present := make(map[cleat.InstanceID]bool)
	for _, m := range list {
		if m.Peer.Role != cleat.RoleEntry || m.Peer.Instance == r.cfg.Self {
			continue
		}
		present[m.Peer.Instance] = true
		e, ok := r.entries[m.Peer.Instance]
		if !ok {
			e = &entryLink{}
			r.entries[m.Peer.Instance] = e
		}
		if e.address == m.Peer.Address || r.cfg.Self > m.Peer.Instance {
			continue
		}
		if e.address != "" {
			r.mesh.RemoveAddress(e.address)
		}
		e.address = m.Peer.Address
		r.mesh.AddAddress(e.address)
	}
	r.dropAbsent(present)
	r.budget.SetEntries(1 + len(r.entries))
	r.planner.SetMembers(len(r.entries))
}

// dropAbsent removes entries that are no longer members and have no link.
func (r *Role) dropAbsent(present map[cleat.InstanceID]bool) {
	for id, e := range r.entries {
		if present[id] || e.link != nil {
			continue
		}
		if e.address != "" {
			r.mesh.RemoveAddress(e.address)
		}
		delete(r.entries, id)
	}
}

// maxFleetReports bounds the placement reports that all entries together send in a
// second, and so their processor time and their traffic between failure domains. It lets
// 29 entries report every 200 ms. Reports that were 350 ms old let entries send their
// requests to the same engines; with reports every 100 ms, handling them took longer than
// they saved.
const maxFleetReports = 4000

// peersPerReportInterval bounds the reports that one entry sends: at most this number in
// each ReportInterval. It holds where it allows more than maxFleetReports, in fleets of
// 50 entries and more.
const peersPerReportInterval = 4

// reportInterval returns the interval between an entry's reports to a number of others.
func reportInterval(least time.Duration, others int) time.Duration {
	byFleet := time.Duration(others*(others+1)) * time.Second / maxFleetReports
	byEntry := time.Duration(others) * least / peersPerReportInterval
	return max(least, min(byFleet, byEntry))
}

// reportLoop sends this entry's placement reports to the other entries.
func (r *Role) reportLoop(ctx context.Context) error {
	for {
		r.mu.Lock()
		now := r.clock.Now()
		r.tickPoison(now)
		r.planner.SetLeaving(r.draining.Load())
		m, streams, crashes := r.planner.Report(now), r.streams.Report(now), r.poison.Report(now)
		links := r.linkedEntries()
		interval := reportInterval(r.cfg.ReportInterval, len(links))
		r.planner.SetPeers(len(links), interval)
		if len(m.Limits) > 0 {
			r.wakeIfWaiting() // The report may have granted permits to this entry.
		}
		if crashes == nil {
			crashes = &cleat.CrashReport{}
		}
		r.requests.Report(now, crashes)
		r.mu.Unlock()
		messages := []cleat.Message{m}
		if streams != nil {
			messages = append(messages, streams)
		}
		if !crashes.IsEmpty() {
			messages = append(messages, crashes)
		}
		r.broadcast(links, messages...)
		if !sleep(ctx, interval) {
			return nil
		}
	}
}
