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

func (r *Role) getStatus(c echo.Context, _ principal) error {
	nodes, missing := r.gatherStatus(c.Request().Context(), "")
	leader, _ := r.host.Leader()
	s := admin.FleetStatus{
		Revision: r.machine.Revision(), Leader: leader, Unreachable: missing,
		Nodes: make([]admin.Node, 0, len(nodes)), Violations: assert.Total(),
		Evacuations: r.machine.Evacuations().Evacuations,
	}
	for _, n := range nodes {
		node := describeNode(n, s.Revision)
		if node.Lagging {
			s.LaggingNodes++
		}
		s.Nodes = append(s.Nodes, node)
	}
	r.mu.Lock()
	s.Orders = r.orders.Pending()
	r.mu.Unlock()
	return c.JSON(http.StatusOK, s)
}

func describeNode(n nodeStatus, current cleat.Revision) admin.Node {
	reg := n.status.Register
	return admin.Node{
		Instance: reg.Peer.Instance, Incarnation: reg.Peer.Incarnation, Role: reg.Peer.Role,
		Domain: reg.Peer.Domain, Address: reg.Peer.Address, Control: n.control,
		Revision: reg.Revision, Lagging: reg.Revision < current,
		Suspected: n.status.Suspected, Leaving: reg.Leaving, SinceHeartbeatSeconds: n.status.SinceHeartbeat.Seconds(),
		Upstreams: reg.Upstreams,
	}
}

func (r *Role) getWorkspace(c echo.Context, p principal) error {
	id := cleat.WorkspaceID(c.QueryParam("workspace"))
	path := "/teams/" + id.Team() + "/workspaces"
	if !p.token.CanRead(path) {
		return newProblemError(http.StatusForbidden, admin.CodeForbidden, "the token may not read "+path)
	}
	fleet, err := config.Decode(r.settingsSnapshot())
	if err != nil {
		return trace.Wrap(err)
	}
	w, ok := fleet.Workspaces().ByID(id)
	if !ok {
		return newProblemError(http.StatusNotFound, admin.CodeNotFound, "there is no workspace "+string(id))
	}
	nodes, _ := r.gatherStatus(c.Request().Context(), id)
	s := sumWorkspace(w, nodes)
	s.Service, s.Gap = r.serviceAndGap(id, backlogged(nodes))
	return c.JSON(http.StatusOK, s)
}

func (r *Role) settingsSnapshot() cleat.Snapshot {
	var s cleat.Snapshot
	r.machine.read(func(state *config.State) { s = state.Snapshot() })
	return s
}

// sumWorkspace sums a workspace's counts over all nodes. It takes waiting and refused
// requests from entries and running and served ones from agents, so that no request
// is counted twice.
func sumWorkspace(w cleat.Workspace, nodes []nodeStatus) admin.WorkspaceStatus {
	s := admin.WorkspaceStatus{Workspace: w.ID, Share: w.Share, Refused: make(map[cleat.Reason]uint64)}
	for _, n := range nodes {
		for _, ws := range n.status.Register.Status {
			if ws.Workspace == w.ID {
				s.Reporting++
				addWorkspaceStatus(&s, n.status.Register.Peer.Role, ws)
			}
		}
	}
	return s
}

func addWorkspaceStatus(s *admin.WorkspaceStatus, role cleat.Role, ws cleat.WorkspaceStatus) {
	if role == cleat.RoleAgent {
		s.Running += uint64(ws.Running)
		s.Served += ws.Served
		return
	}
	s.Waiting += uint64(ws.Waiting)
	for reason, n := range ws.Refused {
		s.Refused[reason] += n
	}
}

// backlogged returns the workspaces with waiting requests.
func backlogged(nodes []nodeStatus) []cleat.WorkspaceID {
	var list []cleat.WorkspaceID
	seen := make(map[cleat.WorkspaceID]bool)
	for _, n := range nodes {
		for _, ws := range n.status.Register.Status {
			if ws.Waiting > 0 && !seen[ws.Workspace] {
				seen[ws.Workspace] = true
				list = append(list, ws.Workspace)
			}
		}
	}
	return list
}

// serviceAndGap returns a workspace's service relative to its share, and how far it
// lags behind the best-served workspace in others, which lists the backlogged ones.
func (r *Role) serviceAndGap(id cleat.WorkspaceID, others []cleat.WorkspaceID) (service, gap float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := r.relay.Total(id)
	for _, other := range others {
		gap = max(gap, shareLevel(r.relay.Total(other))-shareLevel(own))
	}
	return own.Service, gap
}

// shareLevel returns the value that fair sharing compares between workspaces.
func shareLevel(t cleat.WorkspaceTotal) float64 {
	return t.Service + t.InFlight + t.ServiceFloor
}

func (r *Role) getControl(c echo.Context, _ principal) error {
	s := r.host.Status()
	claims, _ := r.machine.Claims()
	answer := admin.ControlStatus{
		Instance: s.Instance, Role: string(s.Role), Term: s.Term, Leader: s.Leader,
		Commit: s.Commit, Applied: s.Applied, Snapshot: s.Snapshot, Lease: s.Lease, DiskError: s.DiskError,
		Replicas: []admin.Replica{}, Candidates: []admin.Replica{},
		Claims: claims, Settings: r.machine.Revision(), At: r.clock.Now(),
	}
	for _, m := range s.Members {
		replica := admin.Replica{Instance: m.Instance, Replica: string(m.Replica), Learner: m.Learner}
		for _, f := range s.Followers {
			if f.Replica == m.Replica {
				replica.Match, replica.SinceContactSeconds = f.Match, f.SinceContact.Seconds()
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

func (r *Role) postReplicas(c echo.Context, p principal) error {
	var change admin.ReplicaChange
	if err := decodeBody(c, &change); err != nil {
		return err
	}
	if !p.token.Write {
		return newProblemError(http.StatusForbidden, admin.CodeForbidden, "the token may not write")
	}
	r.log.Info("operator requested a change of the log's members", "action", change.Action, "instance", change.Instance, "by", p.token.ID)
	if err := r.ChangeReplicas(c.Request().Context(), change.Action, change.Instance); err != nil {
		return proposalError(err)
	}
	return c.NoContent(http.StatusNoContent)
}

func (r *Role) postSnapshot(c echo.Context, p principal) error {
	if !p.token.Write {
		return newProblemError(http.StatusForbidden, admin.CodeForbidden, "the token may not write")
	}
	if err := r.host.TakeSnapshot(); err != nil {
		return proposalError(err)
	}
	return c.NoContent(http.StatusNoContent)
}

// getState answers with this instance's own state, even without a quorum, so that a
// log that has lost most of its instances can be recovered.
func (r *Role) getState(c echo.Context, p principal) error {
	if !p.token.Write {
		return newProblemError(http.StatusForbidden, admin.CodeForbidden, "the token may not write")
	}
	state, err := r.machine.Snapshot()
	if err != nil {
		return trace.Wrap(err)
	}
	return c.JSON(http.StatusOK, admin.State{Instance: r.self.Instance, Applied: r.host.Status().Applied, Settings: r.machine.Revision(), State: state})
}
