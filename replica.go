package cleat

import "context"

// StateMachine is what the replicated log drives; equal commands in equal
// order give equal state and results on every replica.
type StateMachine interface {
	// Apply carries out the committed command at index and returns its result.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with a snapshot.
	Restore(snapshot []byte) error
}

// Replicator is the replicated log as its users see it.
type Replicator interface {
	// Propose returns the result of the command once a quorum has synced it and it is
	// applied here; a trace.ConnectionProblem error means that its fate is unknown, a
	// trace.LimitExceeded error that it was certainly not accepted.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Confirm returns once the local state holds all that was committed when it was
	// called, confirmed by a quorum.
	Confirm(ctx context.Context) error
	// Leader returns the leader this replica knows of, if any.
	Leader() (InstanceID, bool)
	// OrderLease returns whether this replica may issue orders now: it leads and
	// every earlier leader's lease has run out; term fences the orders.
	OrderLease() (term uint64, held bool)
}
