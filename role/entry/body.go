package entry

import (
	"errors"
	"io"
	"os"
	"sync/atomic"

	"github.com/gravitational/trace"
)

const maxInitialBufferBytes = 32 << 10

// byteBudget bounds the bytes of request bodies held in memory at once.
type byteBudget struct {
	max  int64
	held atomic.Int64
}

func (b *byteBudget) reserve(n int) bool {
	if b.held.Add(int64(n)) > b.max {
		b.held.Add(-int64(n))
		return false
	}
	return true
}

func (b *byteBudget) release(n int) {
	b.held.Add(-int64(n))
}

// errBudgetExhausted means that the budget for request bodies is used up.
var errBudgetExhausted = errors.New("no room for the body")

// readBody reads a body of at most limit bytes and reserves budget for it. The
// error is errBudgetExhausted, a trace.LimitExceeded, a trace.ConnectionProblem
// for a body that was not received in time, or a trace.BadParameter for a
// truncated or malformed one.
func readBody(r io.Reader, length, limit int64, budget *byteBudget) ([]byte, error) {
	if length > limit {
		return nil, trace.LimitExceeded("readBody: %d bytes announced, at most %d allowed", length, limit)
	}
	body := make([]byte, 0, min(max(length, 0)+1, maxInitialBufferBytes))
	for {
		n, err := r.Read(body[len(body):cap(body)])
		if n > 0 && !budget.reserve(n) {
			budget.release(len(body))
			return nil, errBudgetExhausted
		}
		body = body[:len(body)+n]
		if err == nil && int64(len(body)) > limit {
			err = trace.LimitExceeded("readBody: more than %d bytes", limit)
		}
		if errors.Is(err, io.EOF) && int64(len(body)) <= limit {
			return body, nil
		}
		if err != nil {
			budget.release(len(body))
			return nil, classifyBodyError(err, limit)
		}
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
	}
}

func classifyBodyError(err error, limit int64) error {
	switch {
	case trace.IsLimitExceeded(err):
		return err
	case errors.Is(err, io.EOF): // Not an error unless the body exceeds the limit.
		return trace.LimitExceeded("readBody: more than %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return trace.ConnectionProblem(err, "readBody: the body came too slowly")
	default:
		return trace.BadParameter("readBody: %v", err)
	}
}
