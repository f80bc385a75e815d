package bench

import (
	"container/heap"
	"math/rand"
	"time"
)

// event is a function to run at a virtual time; events of the same time run in the
// order in which they were scheduled.
type event struct {
	at  time.Time
	seq uint64
	run func()
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

func (h *eventHeap) Pop() any {
	old := *h
	n := len(old)
	e := old[n-1]
	old[n-1] = nil
	*h = old[:n-1]
	return e
}

// scheduler holds the virtual clock, the random source and the pending events of
// one run.
type scheduler struct {
	start  time.Time
	now    time.Time
	seq    uint64
	events eventHeap
	rnd    *rand.Rand
}

func newScheduler(seed int64) *scheduler {
	start := time.Unix(1_700_000_000, 0)
	return &scheduler{start: start, now: start, rnd: rand.New(rand.NewSource(seed))}
}

// at schedules fn at virtual time t, or now if t is in the past.
func (s *scheduler) at(t time.Time, fn func()) {
	if t.Before(s.now) {
		t = s.now
	}
	s.seq++
	heap.Push(&s.events, &event{at: t, seq: s.seq, run: fn})
}

func (s *scheduler) after(d time.Duration, fn func()) {
	s.at(s.now.Add(d), fn)
}

// every runs fn periodically, the first time after the given delay.
func (s *scheduler) every(first, interval time.Duration, fn func()) {
	var step func()
	step = func() {
		fn()
		s.after(interval, step)
	}
	s.after(first, step)
}

// run processes the events up to the given virtual time.
func (s *scheduler) run(until time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(until) {
		e := heap.Pop(&s.events).(*event)
		s.now = e.at
		e.run()
	}
	s.now = until
}

func (s *scheduler) elapsed() time.Duration { return s.now.Sub(s.start) }
