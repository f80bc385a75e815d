package ctrl

import (
	"cmp"
	"context"
	"slices"
	"time"

	"marigoldcleat.example/cleat"
)

const statusTimeout = time.Second

// nodeStatus is a node's status and the control instance that the node registers with.
type nodeStatus struct {
	control cleat.InstanceID
	status  cleat.NodeStatus
}

// startCall sends a request to another control instance; build makes the message from
// the call's number. The returned channel receives the reply, and the returned function
// discards the pending call.
func (r *Role) startCall(to cleat.InstanceID, build func(call uint64) cleat.Message) (<-chan cleat.Message, func(), error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastCall++
	call := r.lastCall
	answer := make(chan cleat.Message, 1)
	r.pendingCalls[call] = answer
	cancelCall := func() {
		r.mu.Lock()
		delete(r.pendingCalls, call)
		r.mu.Unlock()
	}
	if err := r.sendPeer(to, build(call)); err != nil {
		delete(r.pendingCalls, call)
		return nil, func() {}, err
	}
	return answer, cancelCall, nil
}

// completeCall delivers the reply to a pending call; a late reply is dropped.
func (r *Role) completeCall(call uint64, m cleat.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answer, ok := r.pendingCalls[call]; ok {
		delete(r.pendingCalls, call)
		answer <- m
	}
}

func (r *Role) handleStatusRead(l cleat.Link, m *cleat.StatusRead) {
	r.mu.Lock()
	report := &cleat.StatusReport{Call: m.Call, Nodes: r.members.Status(r.clock.Now(), m.Workspace)}
	r.mu.Unlock()
	r.sendOrLog(l, report)
}

// gatherStatus returns the status of all nodes, sorted by instance, and the control
// instances that did not answer. Node statuses include only the given workspace and
// backlogged ones, or no workspaces if the name is empty.
func (r *Role) gatherStatus(ctx context.Context, workspace cleat.WorkspaceID) (nodes []nodeStatus, missing []cleat.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	r.mu.Lock()
	for _, s := range r.members.Status(r.clock.Now(), workspace) {
		nodes = append(nodes, nodeStatus{control: r.self.Instance, status: s})
	}
	r.mu.Unlock()
	answers := make(map[cleat.InstanceID]<-chan cleat.Message)
	others := r.otherControls()
	for _, id := range others {
		answer, cancelCall, err := r.startCall(id, func(call uint64) cleat.Message {
			return &cleat.StatusRead{Call: call, Workspace: workspace}
		})
		defer cancelCall()
		if err == nil {
			answers[id] = answer
		}
	}
	for _, id := range others {
		report, ok := awaitStatusReport(ctx, answers[id])
		if !ok {
			missing = append(missing, id)
			continue
		}
		for _, s := range report.Nodes {
			nodes = append(nodes, nodeStatus{control: id, status: s})
		}
	}
	return latestPerInstance(nodes), missing
}

func awaitStatusReport(ctx context.Context, answer <-chan cleat.Message) (*cleat.StatusReport, bool) {
	if answer == nil {
		return nil, false
	}
	select {
	case m := <-answer:
		report, ok := m.(*cleat.StatusReport)
		return report, ok
	case <-ctx.Done():
		return nil, false
	}
}

// otherControls returns the other control instances: members of the log and linked ones.
func (r *Role) otherControls() []cleat.InstanceID {
	r.mu.Lock()
	ids := r.peerIDs()
	r.mu.Unlock()
	for _, m := range r.host.Status().Members {
		if m.Instance != r.self.Instance {
			ids = append(ids, m.Instance)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// latestPerInstance keeps the latest status of each instance: one that moved between
// control instances is listed by both for a while.
func latestPerInstance(nodes []nodeStatus) []nodeStatus {
	slices.SortFunc(nodes, func(a, b nodeStatus) int {
		return cmp.Or(
			cmp.Compare(a.status.Register.Peer.Instance, b.status.Register.Peer.Instance),
			cmp.Compare(b.status.Register.Peer.Incarnation, a.status.Register.Peer.Incarnation),
			cmp.Compare(a.status.SinceHeartbeat, b.status.SinceHeartbeat),
		)
	})
	return slices.CompactFunc(nodes, func(a, b nodeStatus) bool {
		return a.status.Register.Peer.Instance == b.status.Register.Peer.Instance
	})
}
