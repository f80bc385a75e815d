package bench

import (
	"container/heap"
	"math/rand"
	"time"
)

// event is something that happens at an instant of virtual time; events of one
// instant happen in the order they were made.
type event struct {
	at  time.Time
	seq uint64
	do  func()
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

// world is one run's virtual time, its random source and its events.
type world struct {
	start  time.Time
	now    time.Time
	seq    uint64
	events eventHeap
	rnd    *rand.Rand
}

func newWorld(seed int64) *world {
	start := time.Unix(1_700_000_000, 0)
	return &world{start: start, now: start, rnd: rand.New(rand.NewSource(seed))}
}

// at schedules do; an instant in the past means now.
func (w *world) at(t time.Time, do func()) {
	if t.Before(w.now) {
		t = w.now
	}
	w.seq++
	heap.Push(&w.events, &event{at: t, seq: w.seq, do: do})
}

func (w *world) after(d time.Duration, do func()) {
	w.at(w.now.Add(d), do)
}

// every runs do each interval, the first time after the given delay.
func (w *world) every(first, interval time.Duration, do func()) {
	var step func()
	step = func() {
		do()
		w.after(interval, step)
	}
	w.after(first, step)
}

// run carries out events until the given instant.
func (w *world) run(until time.Time) {
	for len(w.events) > 0 && !w.events[0].at.After(until) {
		e := heap.Pop(&w.events).(*event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

func (w *world) elapsed() time.Duration { return w.now.Sub(w.start) }
