package agent

import "time"

// stallTimer calls a function if an upstream sends nothing for longer than the limit
// while the agent waits for it. A disabled timer does nothing.
type stallTimer struct {
	timer *time.Timer
	limit time.Duration
}

func newStallTimer(limit time.Duration, enabled bool, f func()) *stallTimer {
	if !enabled {
		return &stallTimer{}
	}
	t := &stallTimer{timer: time.AfterFunc(limit, f), limit: limit}
	t.pause()
	return t
}

func (t *stallTimer) start() {
	if t.timer != nil {
		t.timer.Reset(t.limit)
	}
}

func (t *stallTimer) pause() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

func (t *stallTimer) stop() { t.pause() }
