package place

import (
	"slices"
	"strings"
	"time"

	"marigoldcleat.example/cleat"
)

// ShareUsage is what one entry knows about a workspace's use of the capacity, in cost
// units over the accounting window.
type ShareUsage struct {
	Workspace                             cleat.WorkspaceID
	Capacity                              float64       // That is divided into shares.
	Share                                 float64       // Of the whole fleet's capacity; infinite when it covers all demand.
	Requested, Admitted, Started          int           // At this entry; started requests have a first event.
	RequestedElsewhere, AdmittedElsewhere int           // At other entries, by their last reports.
	StartedElsewhere                      int           // At other entries, by their last reports.
	Pending                               int           // Sent and without a first event, at all entries.
	Standing, Headroom                    float64       // What it gets of what it could, and the fraction of the room that it may use; see standing.go.
	Rate, Credit                          float64       // At which this entry admits, in units per second, and what it may admit now.
	ReportAge                             time.Duration // Age of the oldest report that counts.
	Refused                               RefusalCounts
}

// RefusalCounts are the refusals of a workspace's jobs at one entry since its start.
type RefusalCounts struct {
	OverShare, Overload, LateRetry, Other int
}

// usage returns the use of a workspace, without ReportAge.
func (u *usageTable) usage(now time.Time, w cleat.WorkspaceID) ShareUsage {
	r := u.row(now, w)
	u.share(now) // Updates the standings.
	return ShareUsage{
		Workspace: w, Capacity: u.ownCapacity(), Share: u.share(now), Requested: u.demand(now, r), Admitted: sum(r.admitted), Started: sum(r.started),
		RequestedElsewhere: r.peers.requested, AdmittedElsewhere: r.peers.admitted,
		StartedElsewhere: r.peers.started, Pending: r.pending + r.peers.pending,
		Standing: r.standing, Headroom: u.headroom(now, w),
		Rate: u.localRate(now, r), Credit: r.credit.units, Refused: r.refused,
	}
}

// ShareUsage returns what the planner knows about the use of one workspace.
func (p *Planner) ShareUsage(now time.Time, w cleat.WorkspaceID) ShareUsage {
	s := p.usage.usage(now, w)
	s.ReportAge = p.oldestReport(now)
	return s
}

// OversubscribedUsage returns the use of the workspaces that recently requested more
// than their share, some of it at this entry, sorted by name.
func (p *Planner) OversubscribedUsage(now time.Time) []ShareUsage {
	if p.usage.capacity == 0 {
		return nil
	}
	var list []ShareUsage
	for w := range p.usage.rows {
		s := p.ShareUsage(now, w)
		if s.Requested > 0 && float64(s.Requested+s.RequestedElsewhere) > s.Share {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b ShareUsage) int { return strings.Compare(string(a.Workspace), string(b.Workspace)) })
	return list
}

// oldestReport returns the age of the oldest report of another entry.
func (p *Planner) oldestReport(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, q := range p.peers {
		oldest = max(oldest, now.Sub(q.receivedAt))
	}
	return oldest
}
