package slots

import (
	"time"

	"marigoldcleat.example/cleat"
)

// memory holds how ended and voided attempts ended, for a bounded time.
type memory struct {
	keep    time.Duration
	most    int
	known   map[cleat.Attempt]cleat.Ran
	order   []memo
	first   int
	dropped time.Time // Until when an attempt dropped early may be asked for.
}

type memo struct {
	attempt cleat.Attempt
	at      time.Time
}

func newMemory(cfg Config) memory {
	return memory{keep: cfg.RememberAttempts, most: cfg.MaxRemembered, known: map[cleat.Attempt]cleat.Ran{}}
}

func (m *memory) add(now time.Time, a cleat.Attempt, ran cleat.Ran) {
	if _, ok := m.known[a]; !ok {
		m.order = append(m.order, memo{attempt: a, at: now})
	}
	m.known[a] = ran
	if len(m.known) > m.most {
		m.dropped = m.order[m.first].at.Add(m.keep)
		m.drop()
	}
}

func (m *memory) recall(a cleat.Attempt) (cleat.Ran, bool) {
	ran, ok := m.known[a]
	return ran, ok
}

// lossy tells whether an attempt was forgotten that could still be asked for.
func (m *memory) lossy(now time.Time) bool {
	return now.Before(m.dropped)
}

func (m *memory) expire(now time.Time) {
	for m.first < len(m.order) && now.Sub(m.order[m.first].at) > m.keep {
		m.drop()
	}
}

func (m *memory) drop() {
	delete(m.known, m.order[m.first].attempt)
	m.first++
	if m.first > len(m.order)/2 && m.first > 1024 {
		m.order = append([]memo(nil), m.order[m.first:]...)
		m.first = 0
	}
}
