package ctrl

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/state/config"
)

const (
	secretBytes            = 32
	rootTokenID            = "root"
	bootstrapRetryInterval = time.Second
)

// bootstrapLoop gives a new log its initial contents: the state of a lost log, if one is
// to be restored, else the fleet's first token. The token's secret is left in the data
// folder of the one instance whose command was committed first.
func (r *Role) bootstrapLoop(ctx context.Context) error {
	for !r.seedLog(ctx) || !r.makeRootToken(ctx) {
		if !sleep(ctx, bootstrapRetryInterval) {
			return nil
		}
	}
	<-ctx.Done()
	return nil
}

// makeRootToken creates the fleet's first token and returns true once the fleet has one.
// The secret is on disk before its hash is proposed, so that a crash can't lose it.
func (r *Role) makeRootToken(ctx context.Context) bool {
	if err := r.host.ReadBarrier(ctx); err != nil {
		return false
	}
	draft := r.dataPath(rootTokenFile + ".new")
	if r.hasTokens() {
		return r.finalizeRootToken(draft)
	}
	secret, err := r.loadOrCreateDraft(draft)
	if err != nil {
		r.log.Error("root token not written", "err", err)
		return false
	}
	hash := cleat.HashKey(secret)
	result, err := r.ChangeToken(ctx, config.TokenCommand{
		Operation: "root-" + hash[:16], Hash: hash,
		Create: &config.Token{ID: rootTokenID, Subtree: config.FleetSubtree, Write: true},
	})
	if err == nil && result.Accepted {
		return r.finalizeRootToken(draft)
	}
	return false
}

func (r *Role) hasTokens() bool {
	n := 0
	r.machine.read(func(s *config.State) { n = len(s.Tokens(config.Token{Subtree: config.FleetSubtree})) })
	return n > 0
}

// finalizeRootToken renames the draft to its final name if its token is known to the
// fleet, else removes it. It returns false if that failed and must be retried.
func (r *Role) finalizeRootToken(draft string) bool {
	b, err := os.ReadFile(draft)
	if err != nil {
		return true
	}
	if _, ok := r.machine.Token(cleat.HashKey(strings.TrimSpace(string(b)))); !ok {
		return os.Remove(draft) == nil
	}
	name := r.dataPath(rootTokenFile)
	if err := os.Rename(draft, name); err != nil {
		r.log.Error("root token file not renamed", "err", err)
		return false
	}
	r.log.Info("created the fleet's first token", "file", name)
	return true
}

// loadOrCreateDraft returns the secret in the draft file, which it creates if there is no
// valid one.
func (r *Role) loadOrCreateDraft(draft string) (string, error) {
	if b, err := os.ReadFile(draft); err == nil && len(strings.TrimSpace(string(b))) == 2*secretBytes {
		return strings.TrimSpace(string(b)), nil
	}
	secret := NewSecret()
	f, err := os.OpenFile(draft, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	_, err = f.WriteString(secret + "\n")
	if err == nil {
		err = f.Sync()
	}
	return secret, trace.NewAggregate(err, f.Close())
}

// NewSecret returns a random token secret, hex encoded.
func NewSecret() string {
	var b [secretBytes]byte
	_, _ = crand.Read(b[:]) // Never returns an error.
	return hex.EncodeToString(b[:])
}

// RootToken returns the secret of the fleet's first token if this instance holds it.
func (r *Role) RootToken() (string, bool) {
	b, err := os.ReadFile(r.dataPath(rootTokenFile))
	return strings.TrimSpace(string(b)), err == nil
}
