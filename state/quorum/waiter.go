package quorum

import (
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// waiter is a caller who waits for a proposal or a read.
type waiter struct {
	id       uint64
	deadline time.Time
	done     func([]byte, error)
	read     bool
	index    uint64    // What a read waits for.
	asked    time.Time // When the leader was last asked; reads only.
}

// waiters holds the callers in the order of their numbers.
type waiters struct {
	next   uint64
	list   []*waiter
	placed map[uint64]uint64 // Numbers by the places that this replica gave as leader.
}

func (w *waiters) init() {
	w.next = 1
	w.placed = map[uint64]uint64{}
}

func (w *waiters) add(deadline time.Time, done func([]byte, error)) uint64 {
	id := w.next
	w.next++
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

func (w *waiters) forget(id uint64) {
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

// committed finishes the proposal that became entry e, and the one whose place
// e has taken: it can't be committed any more.
func (w *waiters) committed(e *Entry, own bool, result []byte) {
	if own {
		w.finish(e.ID, result, nil)
	}
	id, ok := w.placed[e.Index]
	delete(w.placed, e.Index)
	if ok && !(own && id == e.ID) {
		w.finish(id, nil, trace.LimitExceeded("Replica.Propose: another leader took the command's place"))
	}
}

// setBack moves all times to the past.
func (w *waiters) setBack(d time.Duration) {
	for _, x := range w.list {
		x.deadline = x.deadline.Add(-d)
		x.asked = x.asked.Add(-d)
	}
}

// expire gives up on callers whose deadline has passed.
func (w *waiters) expire(now time.Time) {
	w.finishAll(func(x *waiter) bool { return !now.Before(x.deadline) }, func() error {
		return trace.ConnectionProblem(nil, "Replica.Propose: no quorum answered in time; the fate is unknown")
	})
}

// applied finishes the reads that need no more than index.
func (w *waiters) applied(index uint64) {
	w.finishAll(func(x *waiter) bool { return x.read && x.index > 0 && x.index <= index }, func() error { return nil })
}

// confirmed notes what a read waits for.
func (w *waiters) confirmed(r ReadIndex, applied uint64) {
	i, ok := w.find(r.ID)
	if !ok || !w.list[i].read {
		return
	}
	w.list[i].index = r.Index
	w.applied(applied)
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

// Confirm calls done once the state holds all that was committed when Confirm
// was called, or with an error.
func (r *Replica) Confirm(now time.Time, done func(error)) uint64 {
	id := r.waiters.add(now.Add(r.cfg.ProposeTimeout), func(_ []byte, err error) { done(err) })
	i, _ := r.waiters.find(id)
	r.waiters.list[i].read = true
	r.askRead(now, r.waiters.list[i])
	return id
}

// askRead asks the leader; without one the read is asked again later.
func (r *Replica) askRead(now time.Time, x *waiter) {
	x.asked = now
	out, err := r.core.Read(now, x.id)
	if err != nil {
		return
	}
	r.process(now, out)
}

// repeatReads asks again for reads that have no answer, because the leader or a
// message was lost.
func (r *Replica) repeatReads(now time.Time) {
	for _, x := range slices.Clone(r.waiters.list) {
		if x.read && x.index == 0 && now.Sub(x.asked) >= r.cfg.Heartbeat {
			r.askRead(now, x)
		}
	}
}
