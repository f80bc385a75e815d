package ctrl

import (
	"cmp"
	"context"
	"slices"
	"time"

	"marigoldcleat.example/cleat"
)

const statusTimeout = time.Second

// located is a node's status with the control instance it registers with.
type located struct {
	control cleat.InstanceID
	status  cleat.NodeStatus
}

// ask sends a call to another control instance; build makes the message for
// the call's number. The returned function forgets the call.
func (r *Role) ask(to cleat.InstanceID, build func(call uint64) cleat.Message) (<-chan cleat.Message, func(), error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.call++
	call := r.call
	answer := make(chan cleat.Message, 1)
	r.calls[call] = answer
	forget := func() {
		r.mu.Lock()
		delete(r.calls, call)
		r.mu.Unlock()
	}
	if err := r.sendPeer(to, build(call)); err != nil {
		delete(r.calls, call)
		return nil, func() {}, err
	}
	return answer, forget, nil
}

func (r *Role) answerCall(call uint64, m cleat.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answer, ok := r.calls[call]; ok {
		delete(r.calls, call)
		answer <- m
	}
}

func (r *Role) answerStatus(l cleat.Link, m *cleat.StatusRead) {
	r.mu.Lock()
	report := &cleat.StatusReport{Call: m.Call, Nodes: r.members.Status(r.clock.Now(), m.Workspace)}
	r.mu.Unlock()
	r.post(l, report)
}

// gather returns the status of all nodes, sorted by instance, and the control
// instances that did not answer; of workspaces only the one asked for and
// backlogged ones, or none for an empty name.
func (r *Role) gather(ctx context.Context, workspace cleat.WorkspaceID) (nodes []located, missing []cleat.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	r.mu.Lock()
	for _, s := range r.members.Status(r.clock.Now(), workspace) {
		nodes = append(nodes, located{control: r.self.Instance, status: s})
	}
	r.mu.Unlock()
	answers := make(map[cleat.InstanceID]<-chan cleat.Message)
	others := r.others()
	for _, id := range others {
		answer, forget, err := r.ask(id, func(call uint64) cleat.Message {
			return &cleat.StatusRead{Call: call, Workspace: workspace}
		})
		defer forget()
		if err == nil {
			answers[id] = answer
		}
	}
	for _, id := range others {
		report, ok := await(ctx, answers[id])
		if !ok {
			missing = append(missing, id)
			continue
		}
		for _, s := range report.Nodes {
			nodes = append(nodes, located{control: id, status: s})
		}
	}
	return newest(nodes), missing
}

func await(ctx context.Context, answer <-chan cleat.Message) (*cleat.StatusReport, bool) {
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

// others returns the other control instances: members of the log and linked ones.
func (r *Role) others() []cleat.InstanceID {
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

// newest keeps the latest word on each instance, since one that moved between
// control instances is known to both for a while.
func newest(nodes []located) []located {
	slices.SortFunc(nodes, func(a, b located) int {
		return cmp.Or(
			cmp.Compare(a.status.Register.Peer.Instance, b.status.Register.Peer.Instance),
			cmp.Compare(b.status.Register.Peer.Incarnation, a.status.Register.Peer.Incarnation),
			cmp.Compare(a.status.SinceHeartbeat, b.status.SinceHeartbeat),
		)
	})
	return slices.CompactFunc(nodes, func(a, b located) bool {
		return a.status.Register.Peer.Instance == b.status.Register.Peer.Instance
	})
}
