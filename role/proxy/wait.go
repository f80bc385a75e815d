package proxy

import (
	"context"
	"time"

	"marigoldcleat.example/cleat/policy/place"
)

const (
	minDispatchPause    = 15 * time.Millisecond // Minimum between passes over the waiting jobs.
	dispatchPauseFactor = 40                    // Minimum pause as a multiple of the time the last pass took.
	dispatchInterval    = 25 * time.Millisecond // Between passes when nothing wakes the dispatcher.
)

// wakeDispatcher makes dispatchLoop check the waiting jobs.
func (r *Role) wakeDispatcher() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// dispatchLoop delivers verdicts on waiting jobs.
func (r *Role) dispatchLoop(ctx context.Context) error {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		r.mu.Lock()
		if r.planner.Waiting() == 0 {
			r.mu.Unlock()
			continue
		}
		start := r.clock.Now()
		for _, v := range r.planner.Dispatch(r.clock.Now()) {
			if c, ok := r.waiters[v.Job.ID]; ok {
				delete(r.waiters, v.Job.ID)
				c <- v
			}
		}
		took := r.clock.Now().Sub(start)
		r.mu.Unlock()
		pause := max(minDispatchPause, dispatchPauseFactor*took)
		r.dispatchPause.Store(int64(pause))
		if !sleep(ctx, pause) {
			return nil
		}
	}
}

// submit returns the verdict on a job, or, when the job waits, the channel on which the
// verdict will arrive.
func (r *Role) submit(j *place.Job) (place.Verdict, chan place.Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.ID == 0 {
		r.lastJobID++
		j.ID = r.lastJobID
	}
	v, decided := r.planner.Submit(r.clock.Now(), j)
	if decided {
		return v, nil
	}
	c := make(chan place.Verdict, 1)
	r.waiters[j.ID] = c
	return v, c
}

// awaitVerdict returns the verdict on a waiting job; false means that ctx ended first.
func (r *Role) awaitVerdict(ctx context.Context, j *place.Job, c chan place.Verdict) (place.Verdict, bool) {
	select {
	case v := <-c:
		return v, true
	case <-ctx.Done():
	}
	return r.cancelWaiting(j, c)
}

// cancelWaiting removes a job from the queue. If a verdict arrived in the meantime, the
// job is recorded as canceled.
func (r *Role) cancelWaiting(j *place.Job, c chan place.Verdict) (place.Verdict, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiters, j.ID)
	r.planner.CancelWaiting(j)
	select {
	case <-c:
		r.planner.RecordEnd(r.clock.Now(), j, place.OutcomeCanceled)
	default:
	}
	return place.Verdict{}, false
}

func (r *Role) recordFirstEvent(j *place.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planner.RecordFirstEvent(r.clock.Now(), j)
	r.wakeIfWaiting()
}

func (r *Role) recordEvents(j *place.Job, events int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planner.RecordEvents(r.clock.Now(), j, events)
}

func (r *Role) recordEnd(j *place.Job, o place.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planner.RecordEnd(r.clock.Now(), j, o)
	r.wakeIfWaiting()
}

// wakeIfWaiting wakes the dispatcher if jobs wait. The caller holds r.mu.
func (r *Role) wakeIfWaiting() {
	if r.planner.Waiting() > 0 {
		r.wakeDispatcher()
	}
}
