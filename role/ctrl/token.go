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
	secretBytes = 32
	rootTokenID = "root"
	firstRetry  = time.Second
)

// firstLoop gives a new log its first contents: the state of a lost log, if
// one is to be taken over, and else the fleet's first token, whose secret it
// leaves in the data folder of the one instance whose command came first.
func (r *Role) firstLoop(ctx context.Context) error {
	for !r.takeOver(ctx) || !r.makeRootToken(ctx) {
		if !sleep(ctx, firstRetry) {
			return nil
		}
	}
	<-ctx.Done()
	return nil
}

// makeRootToken returns true once the fleet has a token. The secret is on disk
// before its hash is proposed, so that a crash in between can't lose it.
func (r *Role) makeRootToken(ctx context.Context) bool {
	if err := r.host.ReadBarrier(ctx); err != nil {
		return false
	}
	draft := r.file(rootTokenFile + ".new")
	if r.hasTokens() {
		return r.keepRootToken(draft)
	}
	secret, err := r.draftToken(draft)
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
		return r.keepRootToken(draft)
	}
	return false
}

func (r *Role) hasTokens() bool {
	n := 0
	r.machine.read(func(s *config.State) { n = len(s.Tokens(config.Token{Subtree: config.FleetSubtree})) })
	return n > 0
}

// keepRootToken gives the draft its name if its token is the fleet's, else removes it.
func (r *Role) keepRootToken(draft string) bool {
	b, err := os.ReadFile(draft)
	if err != nil {
		return true
	}
	if _, ok := r.machine.Token(cleat.HashKey(strings.TrimSpace(string(b)))); !ok {
		return os.Remove(draft) == nil
	}
	name := r.file(rootTokenFile)
	if err := os.Rename(draft, name); err != nil {
		r.log.Error("root token not kept", "err", err)
		return false
	}
	r.log.Info("made the fleet's first token", "file", name)
	return true
}

// draftToken returns the secret in the draft, made anew when there is none.
func (r *Role) draftToken(draft string) (string, error) {
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

// NewSecret returns a random secret of a token.
func NewSecret() string {
	var b [secretBytes]byte
	_, _ = crand.Read(b[:]) // It never fails.
	return hex.EncodeToString(b[:])
}

// RootToken returns the secret of the fleet's first token if this instance holds it.
func (r *Role) RootToken() (string, bool) {
	b, err := os.ReadFile(r.file(rootTokenFile))
	return strings.TrimSpace(string(b)), err == nil
}
