package httpd

import (
	"testing"
	"time"
)

// RECOVER on pastor-andino-large: callers were turned away as fast as others came, so that
// all in the queue had waited for longer than they try.
func TestQueueThatIsNeverEmptyGetsMoreTime(t *testing.T) {
	const least, doubled, most = busyPause / 4, busyPause / 2, busyPause * 3 / 4
	start := time.Unix(1_000, 0)
	left := func(at time.Duration) func(*queueWatch) {
		return func(q *queueWatch) { q.recordLeft(start.Add(at)) }
	}
	cases := map[string]struct {
		passes []func(*queueWatch)
		at     time.Duration
		want   time.Duration
	}{
		"no pass was made":                           {nil, time.Minute, least},
		"a pass has just left callers":               {[]func(*queueWatch){left(0)}, 0, least},
		"each pass has left callers for a while":     {[]func(*queueWatch){left(0), left(maxQueueAge)}, maxQueueAge, doubled},
		"each pass has left callers for long":        {[]func(*queueWatch){left(0), left(time.Minute)}, time.Minute, most},
		"the last pass emptied the queue":            {[]func(*queueWatch){left(0), (*queueWatch).recordEmpty}, time.Minute, least},
		"callers are left since the queue was empty": {[]func(*queueWatch){left(0), (*queueWatch).recordEmpty, left(time.Second)}, time.Second + maxQueueAge, doubled},
	}
	for name, c := range cases {
		q := &queueWatch{}
		for _, pass := range c.passes {
			pass(q)
		}
		if got := q.budget(start.Add(c.at), busyPause); got != c.want {
			t.Errorf("%s: budget %v, want %v", name, got, c.want)
		}
	}
}
