package proxy

import (
	"context"
	"time"

	"marigoldcleat.example/cleat/policy/place"
)

const (
	dispatchInterval = 25 * time.Millisecond // Between passes over the waiting jobs when nothing wakes the dispatcher.
	// minDispatchPause and maxDispatchPause bound the pause between passes. Callers
	// notice the longest one, which is a fifth of a usual latency objective.
	minDispatchPause, maxDispatchPause = 15 * time.Millisecond, 100 * time.Millisecond
	// dispatchPauseFactor and idleDispatchPauseFactor are the pause after a pass, as a
	// multiple of the time that it took: after one that decided on jobs, and after one
	// that left all of them waiting. They bound the dispatcher's share of the
	// processor to a tenth and a fortieth, until maxDispatchPause is reached.
	dispatchPauseFactor, idleDispatchPauseFactor = 9, 39
)

// pauseAfterDispatch returns the pause after a pass that took some time and decided on
// a number of jobs.
func pauseAfterDispatch(took time.Duration, decided int) time.Duration {
	factor := time.Duration(dispatchPauseFactor)
	if decided == 0 {
		factor = idleDispatchPauseFactor
	}
	return min(max(factor*took, minDispatchPause), maxDispatchPause)
}

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
		verdicts := r.planner.Dispatch(start)
		for _, v := range verdicts {
			if c, ok := r.waiters[v.Job.ID]; ok {
				delete(r.waiters, v.Job.ID)
				c <- v
			}
		}
		took := r.clock.Now().Sub(start)
		r.mu.Unlock()
		pause := pauseAfterDispatch(took, len(verdicts))
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
		r.planner.RecordEnd(r.clock.Now(), j, place.OutcomeNotSent)
	default:
	}
	return place.Verdict{}, false
}

// recordFirstEvent records the start of a job's answer, with its events if it is a stream.
func (r *Role) recordFirstEvent(j *place.Job, events int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sent, j.ID)
	r.planner.RecordFirstOutput(j, events)
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
	delete(r.sent, j.ID)
	r.planner.RecordEnd(r.clock.Now(), j, o)
	r.wakeIfWaiting()
}

// wakeIfWaiting wakes the dispatcher if jobs wait. The caller holds r.mu.
func (r *Role) wakeIfWaiting() {
	if r.planner.Waiting() > 0 {
		r.wakeDispatcher()
	}
}
