package ctrl

import (
	"net/http"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/admin"
	"marigoldcleat.example/cleat/stand/assert"
	"marigoldcleat.example/cleat/state/config"
)

func (r *Role) getStatus(c echo.Context, _ caller) error {
	nodes, missing := r.gather(c.Request().Context(), "")
	leader, _ := r.host.Leader()
	s := admin.FleetStatus{
		Revision: r.machine.Revision(), Leader: leader, Unreachable: missing,
		Nodes: make([]admin.Node, 0, len(nodes)), Violations: assert.Total(),
	}
	for _, n := range nodes {
		node := describe(n, s.Revision)
		if node.Lags {
			s.Laggards++
		}
		s.Nodes = append(s.Nodes, node)
	}
	r.mu.Lock()
	s.Orders = r.orders.Pending()
	r.mu.Unlock()
	return c.JSON(http.StatusOK, s)
}

func describe(n located, current cleat.Revision) admin.Node {
	reg := n.status.Register
	return admin.Node{
		Instance: reg.Peer.Instance, Incarnation: reg.Peer.Incarnation, Role: reg.Peer.Role,
		Domain: reg.Peer.Domain, Address: reg.Peer.Address, Control: n.control,
		Revision: reg.Revision, Lags: reg.Revision < current,
		Suspected: n.status.Suspected, Leaving: reg.Leaving, Silent: n.status.SinceHeartbeat.Seconds(),
		Upstreams: reg.Upstreams,
	}
}

func (r *Role) getWorkspace(c echo.Context, who caller) error {
	id := cleat.WorkspaceID(c.QueryParam("workspace"))
	path := "/teams/" + id.Team() + "/workspaces"
	if !who.token.CanRead(path) {
		return failed(http.StatusForbidden, admin.CodeForbidden, "the token may not read "+path)
	}
	fleet, err := config.Decode(r.snapshot())
	if err != nil {
		return trace.Wrap(err)
	}
	w, ok := fleet.Workspaces().ByID(id)
	if !ok {
		return failed(http.StatusNotFound, admin.CodeNotFound, "there is no workspace "+string(id))
	}
	nodes, _ := r.gather(c.Request().Context(), id)
	s := sum(w, nodes)
	s.Service, s.Gap = r.service(id, backlogged(nodes))
	return c.JSON(http.StatusOK, s)
}

func (r *Role) snapshot() cleat.Snapshot {
	var s cleat.Snapshot
	r.machine.read(func(state *config.State) { s = state.Snapshot() })
	return s
}

// sum adds what entries say of waiting and refused requests and what agents
// say of running and served ones, so that nothing counts twice.
func sum(w cleat.Workspace, nodes []located) admin.WorkspaceStatus {
	s := admin.WorkspaceStatus{Workspace: w.ID, Share: w.Share, Refused: make(map[cleat.Reason]uint64)}
	for _, n := range nodes {
		for _, part := range n.status.Register.Status {
			if part.Workspace == w.ID {
				s.Reporting++
				add(&s, n.status.Register.Peer.Role, part)
			}
		}
	}
	return s
}

func add(s *admin.WorkspaceStatus, role cleat.Role, part cleat.WorkspaceStatus) {
	if role == cleat.RoleAgent {
		s.Running += uint64(part.Running)
		s.Served += part.Served
		return
	}
	s.Waiting += uint64(part.Waiting)
	for reason, n := range part.Refused {
		s.Refused[reason] += n
	}
}

// backlogged returns the workspaces with waiting requests.
func backlogged(nodes []located) []cleat.WorkspaceID {
	var list []cleat.WorkspaceID
	seen := make(map[cleat.WorkspaceID]bool)
	for _, n := range nodes {
		for _, part := range n.status.Register.Status {
			if part.Waiting > 0 && !seen[part.Workspace] {
				seen[part.Workspace] = true
				list = append(list, part.Workspace)
			}
		}
	}
	return list
}

// service returns a workspace's service for its share and how far it is behind
// the best served backlogged one.
func (r *Role) service(id cleat.WorkspaceID, others []cleat.WorkspaceID) (service, gap float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := r.relay.Total(id)
	for _, other := range others {
		gap = max(gap, level(r.relay.Total(other))-level(own))
	}
	return own.Service, gap
}

// level is what fair sharing compares between workspaces.
func level(t cleat.WorkspaceTotal) float64 {
	return t.Service + t.InFlight + t.ServiceFloor
}

func (r *Role) getControl(c echo.Context, _ caller) error {
	s := r.host.Status()
	claims, _ := r.machine.Claims()
	answer := admin.Control{
		Instance: s.Instance, Duty: string(s.Role), Term: s.Term, Leader: s.Leader,
		Commit: s.Commit, Applied: s.Applied, Snapshot: s.Snapshot, Lease: s.Lease, DiskError: s.DiskError,
		Replicas: []admin.Replica{}, Candidates: []admin.Replica{},
		Claims: claims, Settings: r.machine.Revision(), At: r.clock.Now(),
	}
	for _, m := range s.Members {
		replica := admin.Replica{Instance: m.Instance, Replica: string(m.Replica), Learner: m.Learner}
		for _, f := range s.Followers {
			if f.Replica == m.Replica {
				replica.Match, replica.Quiet = f.Match, f.SinceContact.Seconds()
			}
		}
		answer.Replicas = append(answer.Replicas, replica)
	}
	for _, other := range s.JoinCandidates {
		if isMember(s.Members, other.Replica) {
			continue
		}
		answer.Candidates = append(answer.Candidates, admin.Replica{Instance: other.Instance, Replica: string(other.Replica)})
	}
	return c.JSON(http.StatusOK, answer)
}

func (r *Role) postReplicas(c echo.Context, who caller) error {
	var change admin.ReplicaChange
	if err := decodeBody(c, &change); err != nil {
		return err
	}
	if !who.token.Write {
		return failed(http.StatusForbidden, admin.CodeForbidden, "the token may not write")
	}
	r.log.Info("change of the log's members", "action", change.Action, "instance", change.Instance, "by", who.token.ID)
	if err := r.ChangeReplicas(c.Request().Context(), change.Action, change.Instance); err != nil {
		return proposalError(err)
	}
	return c.NoContent(http.StatusNoContent)
}

func (r *Role) postSnapshot(c echo.Context, who caller) error {
	if !who.token.Write {
		return failed(http.StatusForbidden, admin.CodeForbidden, "the token may not write")
	}
	if err := r.host.TakeSnapshot(); err != nil {
		return proposalError(err)
	}
	return c.NoContent(http.StatusNoContent)
}

// getState answers with this instance's own state, also without a quorum, for
// the recovery of a log that lost most of its instances.
func (r *Role) getState(c echo.Context, who caller) error {
	if !who.token.Write {
		return failed(http.StatusForbidden, admin.CodeForbidden, "the token may not write")
	}
	state, err := r.machine.Snapshot()
	if err != nil {
		return trace.Wrap(err)
	}
	return c.JSON(http.StatusOK, admin.State{Instance: r.self.Instance, Applied: r.host.Status().Applied, Settings: r.machine.Revision(), State: state})
}
