package proxy

import (
	"context"
	"time"

	"marigoldcleat.example/cleat/policy/place"
)

const (
	dispatchPause = 15 * time.Millisecond // Between looks at the waiting jobs, at least.
	dispatchShare = 40                    // Pauses are so many times as long as a look took.
	dispatchTick  = 25 * time.Millisecond // Between looks without a cause.
)

// kick asks for a look at the waiting jobs.
func (r *Role) kick() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// dispatchLoop hands out verdicts on jobs that wait.
func (r *Role) dispatchLoop(ctx context.Context) error {
	ticker := time.NewTicker(dispatchTick)
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
		began := r.clock.Now()
		for _, v := range r.planner.Dispatch(r.clock.Now()) {
			if c, ok := r.waiters[v.Job.ID]; ok {
				delete(r.waiters, v.Job.ID)
				c <- v
			}
		}
		took := r.clock.Now().Sub(began)
		r.mu.Unlock()
		if !sleep(ctx, max(dispatchPause, dispatchShare*took)) {
			return nil
		}
	}
}

// submit returns the verdict on a job, or, when the job waits, where the verdict
// will come.
func (r *Role) submit(j *place.Job) (place.Verdict, chan place.Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.ID == 0 {
		r.jobs++
		j.ID = r.jobs
	}
	v, decided := r.planner.Submit(r.clock.Now(), j)
	if decided {
		return v, nil
	}
	c := make(chan place.Verdict, 1)
	r.waiters[j.ID] = c
	return v, c
}

// await returns the verdict on a job that waits; false means that ctx ended first.
func (r *Role) await(ctx context.Context, j *place.Job, c chan place.Verdict) (place.Verdict, bool) {
	select {
	case v := <-c:
		return v, true
	case <-ctx.Done():
	}
	return r.abandon(j, c)
}

// abandon takes a job out of the queue; a verdict that came meanwhile is undone.
func (r *Role) abandon(j *place.Job, c chan place.Verdict) (place.Verdict, bool) {
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

func (r *Role) begin(j *place.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planner.RecordFirstEvent(r.clock.Now(), j)
	r.kickIfWaiting()
}

func (r *Role) event(j *place.Job, events int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planner.RecordEvents(r.clock.Now(), j, events)
}

func (r *Role) end(j *place.Job, o place.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planner.RecordEnd(r.clock.Now(), j, o)
	r.kickIfWaiting()
}

// kickIfWaiting asks for a look when there is something to look at.
func (r *Role) kickIfWaiting() {
	if r.planner.Waiting() > 0 {
		r.kick()
	}
}
