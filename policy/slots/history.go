package slots

import (
	"time"

	"marigoldcleat.example/cleat"
)

// attemptHistory records, for a bounded time, whether ended or invalidated
// attempts ran.
type attemptHistory struct {
	retention   time.Duration
	maxAttempts int
	outcomes    map[cleat.Attempt]cleat.Ran
	records     []historyRecord
	oldest      int       // Index in records of the oldest one that is not evicted.
	lossyUntil  time.Time // Until then an entry may ask about an attempt that was evicted early.
}

type historyRecord struct {
	attempt    cleat.Attempt
	recordedAt time.Time
}

func newAttemptHistory(cfg Config) attemptHistory {
	return attemptHistory{retention: cfg.AttemptRetention, maxAttempts: cfg.MaxEndedAttempts, outcomes: map[cleat.Attempt]cleat.Ran{}}
}

func (h *attemptHistory) record(now time.Time, a cleat.Attempt, ran cleat.Ran) {
	if _, ok := h.outcomes[a]; !ok {
		h.records = append(h.records, historyRecord{attempt: a, recordedAt: now})
	}
	h.outcomes[a] = ran
	if len(h.outcomes) > h.maxAttempts {
		h.lossyUntil = h.records[h.oldest].recordedAt.Add(h.retention)
		h.evictOldest()
	}
}

func (h *attemptHistory) lookup(a cleat.Attempt) (cleat.Ran, bool) {
	ran, ok := h.outcomes[a]
	return ran, ok
}

// isLossy reports whether an attempt was evicted that an entry may still ask
// about.
func (h *attemptHistory) isLossy(now time.Time) bool {
	return now.Before(h.lossyUntil)
}

func (h *attemptHistory) expire(now time.Time) {
	for h.oldest < len(h.records) && now.Sub(h.records[h.oldest].recordedAt) > h.retention {
		h.evictOldest()
	}
}

func (h *attemptHistory) evictOldest() {
	delete(h.outcomes, h.records[h.oldest].attempt)
	h.oldest++
	if h.oldest > len(h.records)/2 && h.oldest > 1024 {
		h.records = append([]historyRecord(nil), h.records[h.oldest:]...)
		h.oldest = 0
	}
}
