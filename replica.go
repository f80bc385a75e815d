package cleat

import "context"

// StateMachine is the state that the replicated log maintains. It is deterministic:
// the same commands in the same order give the same state and results on every replica.
type StateMachine interface {
	// Apply applies the committed command at index and returns its result.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the complete state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with a snapshot.
	Restore(snapshot []byte) error
}

// Replicator is the interface of the replicated log to its users.
type Replicator interface {
	// Propose returns the result of the command once a quorum has synced it and it is
	// applied here. A trace.ConnectionProblem error means that its outcome is unknown, a
	// trace.LimitExceeded error that it was definitely not accepted.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// ReadBarrier returns once the local state includes everything that was committed at the
	// time of the call, as confirmed by a quorum.
	ReadBarrier(ctx context.Context) error
	// Leader returns the leader this replica knows of, if any.
	Leader() (InstanceID, bool)
	// OrderLease reports whether this replica may issue orders now: it is the leader and
	// the lease of every earlier leader has expired. The term is the
	// high part of an order's fencing number, so that orders of an earlier leader are refused.
	OrderLease() (term uint64, held bool)
}
