package ctrl

import (
	"context"
	"os"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

func readSeed(name string) ([]byte, error) {
	if name == "" {
		return nil, nil
	}
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "readSeed")
	}
	return b, nil
}

// takeOver returns true once the log holds the state to be taken over, or
// when there is none. A snapshot at once keeps the large command out of what
// instances that join later are sent.
func (r *Role) takeOver(ctx context.Context) bool {
	if r.seed == nil {
		return true
	}
	if err := r.host.ReadBarrier(ctx); err != nil {
		return false
	}
	var result cleat.ChangeResult
	if err := r.propose(ctx, command{Image: r.seed}, r.cfg.ChangeTimeout, &result); err != nil {
		r.log.Warn("state not taken over yet", "err", err)
		return false
	}
	if !result.Accepted {
		r.log.Warn("state not taken over", "file", r.cfg.Seed, "problem", result.Problem)
		r.seed = nil
		return true
	}
	r.log.Info("took over the state of a lost log", "file", r.cfg.Seed, "revision", result.Revision)
	r.seed = nil
	if err := r.host.TakeSnapshot(); err != nil {
		r.log.Warn("no snapshot after taking over a state", "err", err)
	}
	return true
}
