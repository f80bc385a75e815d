package quorum

import (
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// waiter is a caller that waits for a proposal or a read.
type waiter struct {
	id            uint64
	deadline      time.Time
	done          func([]byte, error)
	isRead        bool
	readIndex     uint64    // Index that must be applied before the read completes; zero until known.
	lastRequested time.Time // When the index was last requested from the leader; reads only.
}

// waiters holds the waiting callers in the order of their IDs.
type waiters struct {
	nextID           uint64
	list             []*waiter
	proposalsByIndex map[uint64]uint64 // Proposal IDs by the log index that this replica assigned as leader.
}

func (w *waiters) init() {
	w.nextID = 1
	w.proposalsByIndex = map[uint64]uint64{}
}

func (w *waiters) add(deadline time.Time, done func([]byte, error)) uint64 {
	id := w.nextID
	w.nextID++
	w.list = append(w.list, &waiter{id: id, deadline: deadline, done: done})
	return id
}

func (w *waiters) find(id uint64) (int, bool) {
	return slices.BinarySearchFunc(w.list, id, func(x *waiter, id uint64) int {
		switch {
		case x.id < id:
			return -1
		case x.id > id:
			return 1
		}
		return 0
	})
}

func (w *waiters) remove(id uint64) {
	if i, ok := w.find(id); ok {
		w.list = slices.Delete(w.list, i, i+1)
	}
}

func (w *waiters) finish(id uint64, result []byte, err error) {
	i, ok := w.find(id)
	if !ok {
		return
	}
	done := w.list[i].done
	w.list = slices.Delete(w.list, i, i+1)
	done(result, err)
}

// finishCommitted finishes the proposal that became entry e. A different proposal
// that was appended at the same index can no longer be committed and fails.
func (w *waiters) finishCommitted(e *Entry, own bool, result []byte) {
	if own {
		w.finish(e.ID, result, nil)
	}
	id, ok := w.proposalsByIndex[e.Index]
	delete(w.proposalsByIndex, e.Index)
	if ok && !(own && id == e.ID) {
		w.finish(id, nil, trace.LimitExceeded("Replica.Propose: an entry of another leader replaced the command"))
	}
}

// shiftBack moves all times back by d, after the clock was set back by as much.
func (w *waiters) shiftBack(d time.Duration) {
	for _, x := range w.list {
		x.deadline = x.deadline.Add(-d)
		x.lastRequested = x.lastRequested.Add(-d)
	}
}

// expire finishes, with an error, the callers whose deadline has passed.
func (w *waiters) expire(now time.Time) {
	w.finishAll(func(x *waiter) bool { return !now.Before(x.deadline) }, func() error {
		return trace.ConnectionProblem(nil, "Replica.Propose: no quorum answered in time; the outcome is unknown")
	})
}

// finishReads finishes the reads that need no entry after index.
func (w *waiters) finishReads(index uint64) {
	w.finishAll(func(x *waiter) bool { return x.isRead && x.readIndex > 0 && x.readIndex <= index }, func() error { return nil })
}

// setReadIndex sets the index that a read waits for.
func (w *waiters) setReadIndex(r ReadIndex, applied uint64) {
	i, ok := w.find(r.ID)
	if !ok || !w.list[i].isRead {
		return
	}
	w.list[i].readIndex = r.Index
	w.finishReads(applied)
}

func (w *waiters) finishAll(match func(*waiter) bool, err func() error) {
	var finished []*waiter
	w.list = slices.DeleteFunc(w.list, func(x *waiter) bool {
		if !match(x) {
			return false
		}
		finished = append(finished, x)
		return true
	})
	for _, x := range finished {
		x.done(nil, err())
	}
}

// ReadBarrier calls done once the state includes everything that was committed when
// ReadBarrier was called, or with an error. It returns the ID to pass to RemoveWaiter.
func (r *Replica) ReadBarrier(now time.Time, done func(error)) uint64 {
	id := r.waiters.add(now.Add(r.cfg.ProposeTimeout), func(_ []byte, err error) { done(err) })
	i, _ := r.waiters.find(id)
	r.waiters.list[i].isRead = true
	r.requestRead(now, r.waiters.list[i])
	return id
}

// requestRead requests the read's index from the leader; if none is known,
// retryReads repeats the request later.
func (r *Replica) requestRead(now time.Time, x *waiter) {
	x.lastRequested = now
	out, err := r.core.Read(now, x.id)
	if err != nil {
		return
	}
	r.processOutput(now, out)
}

// retryReads repeats requests that were not answered because the leader or a
// message was lost.
func (r *Replica) retryReads(now time.Time) {
	for _, x := range slices.Clone(r.waiters.list) {
		if x.isRead && x.readIndex == 0 && now.Sub(x.lastRequested) >= r.cfg.Heartbeat {
			r.requestRead(now, x)
		}
	}
}
