package retry

// Bounds of a budget, in retries.
const (
	startTokens = 3.0
	maxTokens   = 20.0
)

// Budget allows retries in proportion to first attempts; it is not safe for concurrent use.
type Budget struct {
	tokens float64
}

// NewBudget returns a budget that allows a few retries at once.
func NewBudget() Budget {
	return Budget{tokens: startTokens}
}

// First notes a first attempt, which earns ratio of a retry.
func (b *Budget) First(ratio float64) {
	b.tokens = min(maxTokens, b.tokens+ratio)
}

// Take spends one retry and returns whether the budget allowed it.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
