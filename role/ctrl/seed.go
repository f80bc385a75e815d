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

// seedLog restores the state of a lost log into this one. It returns false if it must be
// retried, and true if there is nothing to restore. It takes a snapshot at once, so that
// instances that join later are not sent the large command.
func (r *Role) seedLog(ctx context.Context) bool {
	if r.seedState == nil {
		return true
	}
	if err := r.host.ReadBarrier(ctx); err != nil {
		return false
	}
	var result cleat.ChangeResult
	if err := r.propose(ctx, command{Seed: r.seedState}, r.cfg.ChangeTimeout, &result); err != nil {
		r.log.Warn("state of the lost log not restored yet", "err", err)
		return false
	}
	if !result.Accepted {
		r.log.Warn("state of the lost log not restored", "file", r.cfg.Seed, "problem", result.Problem)
		r.seedState = nil
		return true
	}
	r.log.Info("restored the state of a lost log", "file", r.cfg.Seed, "revision", result.Revision)
	r.seedState = nil
	if err := r.host.TakeSnapshot(); err != nil {
		r.log.Warn("no snapshot taken after restoring the state of a lost log", "err", err)
	}
	return true
}
