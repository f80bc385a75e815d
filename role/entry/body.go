package entry

import (
	"errors"
	"io"
	"os"
	"sync/atomic"

	"github.com/gravitational/trace"
)

const bodyChunkBytes = 32 << 10

// budget bounds the bytes of request bodies held at once.
type budget struct {
	max  int64
	held atomic.Int64
}

func (b *budget) take(n int) bool {
	if b.held.Add(int64(n)) > b.max {
		b.held.Add(-int64(n))
		return false
	}
	return true
}

func (b *budget) give(n int) {
	b.held.Add(-int64(n))
}

// errNoRoom says that the budget for held bodies is used up.
var errNoRoom = errors.New("no room for the body")

// readBody reads a body of at most limit bytes into the budget. The error is
// errNoRoom, a trace.LimitExceeded, a trace.ConnectionProblem for a body that
// came too slowly, or a trace.BadParameter for one that broke off.
func readBody(r io.Reader, length, limit int64, b *budget) ([]byte, error) {
	if length > limit {
		return nil, trace.LimitExceeded("readBody: %d bytes announced, at most %d allowed", length, limit)
	}
	body := make([]byte, 0, min(max(length, 0)+1, bodyChunkBytes))
	for {
		n, err := r.Read(body[len(body):cap(body)])
		if n > 0 && !b.take(n) {
			b.give(len(body))
			return nil, errNoRoom
		}
		body = body[:len(body)+n]
		if err == nil && int64(len(body)) > limit {
			err = trace.LimitExceeded("readBody: more than %d bytes", limit)
		}
		if errors.Is(err, io.EOF) && int64(len(body)) <= limit {
			return body, nil
		}
		if err != nil {
			b.give(len(body))
			return nil, bodyError(err, limit)
		}
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
	}
}

func bodyError(err error, limit int64) error {
	switch {
	case trace.IsLimitExceeded(err):
		return err
	case errors.Is(err, io.EOF):
		return trace.LimitExceeded("readBody: more than %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return trace.ConnectionProblem(err, "readBody: the body came too slowly")
	default:
		return trace.BadParameter("readBody: %v", err)
	}
}
