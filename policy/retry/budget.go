package retry

// Initial and maximum tokens of the bucket; one token pays for one retry.
const (
	startTokens = 3.0
	maxTokens   = 20.0
)

// Budget is a token bucket that allows retries in proportion to first attempts.
// It is not safe for concurrent use.
type Budget struct {
	tokens float64
}

// NewBudget returns a budget with startTokens, for retries before any first
// attempt has earned more.
func NewBudget() Budget {
	return Budget{tokens: startTokens}
}

// RecordFirstAttempt records a first attempt, which adds ratio tokens.
func (b *Budget) RecordFirstAttempt(ratio float64) {
	b.tokens = min(maxTokens, b.tokens+ratio)
}

// TrySpend spends one token and reports whether the budget had one.
func (b *Budget) TrySpend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
