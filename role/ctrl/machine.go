package ctrl

import (
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/assert"
	"marigoldcleat.example/cleat/state/claim"
	"marigoldcleat.example/cleat/state/config"
	"marigoldcleat.example/cleat/state/exits"
)

// command is one entry of the replicated log; exactly one field is set.
type command struct {
	Change *config.ChangeCommand `msgpack:"c,omitempty"`
	Token  *config.TokenCommand  `msgpack:"t,omitempty"`
	Claim  *claim.Command        `msgpack:"l,omitempty"`
	Seed   []byte                `msgpack:"i,omitempty"` // The state of a lost log, applied only if this one is empty.

	Manifest *cleat.Manifest `msgpack:"m,omitempty"`

	Evacuation *evacuationCommand `msgpack:"e,omitempty"`
	Exits      *exits.Command     `msgpack:"x,omitempty"`
}

// machineState is the encoded form of a snapshot.
type machineState struct {
	Settings []byte `msgpack:"s"`
	Claims   []byte `msgpack:"c"`

	Manifest cleat.Manifest `msgpack:"m"`

	Evacuations *evacuationState `msgpack:"e,omitempty"` // Nil if nothing was ever ordered.
	Exits       *exits.Image     `msgpack:"x,omitempty"` // Nil if there was never one.
}

// Machine is the replicated state machine: settings, claims, the manifest, evacuations and the
// exits of upstreams.
type Machine struct {
	clock cleat.Clock

	mu         sync.RWMutex
	settings   *config.State
	claims     *claim.Table
	manifest   cleat.Manifest // The newest one; version 0 if there is none.
	advancedAt time.Time      // When the elapsed time last advanced, by this process's clock.
	changed    chan struct{}  // Closed at the next change of the settings, the manifest, the evacuations or the exits.

	evacuations evacuationState
	exits       *exits.Table
}

var _ cleat.StateMachine = (*Machine)(nil)

// NewMachine returns an empty machine.
func NewMachine(clock cleat.Clock) *Machine {
	return &Machine{
		clock:      clock,
		settings:   config.NewState(),
		claims:     claim.NewTable(),
		advancedAt: clock.Now(),
		changed:    make(chan struct{}),
		exits:      exits.NewTable(),
	}
}

// Apply executes a committed command and returns its encoded result, nil for a command
// that can't be decoded.
func (m *Machine) Apply(_ uint64, b []byte) []byte {
	var c command
	if err := msgpack.Unmarshal(b, &c); err != nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case c.Change != nil:
		return m.finishChange(m.settings.Apply(*c.Change))
	case c.Token != nil:
		return m.finishChange(m.settings.ApplyToken(*c.Token))
	case c.Claim != nil:
		before := m.elapsed()
		r := m.claims.Apply(*c.Claim)
		m.recordAdvance(before)
		return encode(&r)
	case c.Manifest != nil:
		return encode(m.replaceManifest(*c.Manifest))
	case c.Evacuation != nil:
		return encode(m.applyEvacuation(c.Evacuation))
	case c.Exits != nil:
		return encode(m.applyExits(c.Exits))
	case c.Seed != nil:
		return m.finishChange(m.seedIfEmpty(c.Seed))
	}
	return nil
}

// seedIfEmpty loads the state of a lost log if this one is empty.
func (m *Machine) seedIfEmpty(b []byte) cleat.ChangeResult {
	if !m.isEmpty() {
		return cleat.ChangeResult{Code: cleat.ChangeConflict, Problem: "the log is not empty", Revision: m.settings.Revision()}
	}
	kept := m.exits // Those of the lost log are older than an announcement can be late.
	m.exits = exits.NewTable()
	err := m.loadState(b)
	m.exits = kept
	if err != nil {
		return cleat.ChangeResult{Code: cleat.ChangeInvalid, Problem: trace.UserMessage(err)}
	}
	m.settings.RaiseRevisionAfterRestore()
	m.evacuations.List.Revision += config.RestoreRevisionGap
	return cleat.ChangeResult{Accepted: true, Revision: m.settings.Revision()}
}

// replaceManifest stores a manifest if its version is higher than the current one.
func (m *Machine) replaceManifest(next cleat.Manifest) *cleat.ManifestResult {
	accepted := next.Version > m.manifest.Version
	if accepted {
		m.manifest = next
		m.notifyWaiters()
	}
	return &cleat.ManifestResult{Accepted: accepted, Version: m.manifest.Version}
}

// Manifest returns the newest manifest, which has version 0 if there is none.
func (m *Machine) Manifest() cleat.Manifest {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.manifest
}

func (m *Machine) isEmpty() bool {
	tokens := m.settings.Tokens(config.Token{Subtree: config.FleetSubtree})
	return m.settings.Revision() == 0 && len(tokens) == 0 && m.claims.Len() == 0 && m.manifest.Version == 0 && m.evacuations.Orders == 0
}

// finishChange notifies waiters of an accepted change and encodes its result.
func (m *Machine) finishChange(r cleat.ChangeResult) []byte {
	if r.Accepted {
		m.notifyWaiters()
	}
	return encode(&r)
}

func (m *Machine) notifyWaiters() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Machine) recordAdvance(before time.Duration) {
	if m.elapsed() > before {
		m.advancedAt = m.clock.Now()
	}
}

// elapsed returns the latest elapsed time of a command. The claims and the exits each keep their
// own, as builds that don't know exits skip their commands.
func (m *Machine) elapsed() time.Duration { return max(m.claims.Elapsed(), m.exits.Elapsed()) }

// Elapsed returns the time for which the control role has run: the latest that was committed
// plus the time since then, by this process's monotonic clock.
func (m *Machine) Elapsed(now time.Time) time.Duration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.elapsed() + max(0, now.Sub(m.advancedAt))
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	settings, err := m.settings.Marshal()
	if err != nil {
		return nil, trace.Wrap(err, "Machine.Snapshot")
	}
	claims, err := m.claims.Marshal()
	if err != nil {
		return nil, trace.Wrap(err, "Machine.Snapshot")
	}
	b, err := msgpack.Marshal(&machineState{Settings: settings, Claims: claims, Manifest: m.manifest, Evacuations: m.saveEvacuations(), Exits: m.exits.Save()})
	return b, trace.Wrap(err, "Machine.Snapshot")
}

// Restore replaces the state with that of a snapshot, which must not be older.
func (m *Machine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.loadState(snapshot); err != nil {
		return trace.Wrap(err, "Machine.Restore")
	}
	m.notifyWaiters()
	return nil
}

func (m *Machine) loadState(b []byte) error {
	var state machineState
	if err := msgpack.Unmarshal(b, &state); err != nil {
		return trace.BadParameter("the state can't be read: %v", err)
	}
	settings, claims := config.NewState(), claim.NewTable()
	if err := settings.Unmarshal(state.Settings); err != nil {
		return err
	}
	if err := claims.Unmarshal(state.Claims); err != nil {
		return err
	}
	if settings.Revision() < m.settings.Revision() {
		assert.Fail("config.revision", "a state at revision %d would replace revision %d", settings.Revision(), m.settings.Revision())
		return trace.BadParameter("revision %d is older than %d", settings.Revision(), m.settings.Revision())
	}
	if state.Manifest.Version < m.manifest.Version {
		assert.Fail("manifest.version", "a state with manifest %d would replace %d", state.Manifest.Version, m.manifest.Version)
		return trace.BadParameter("manifest %d is older than %d", state.Manifest.Version, m.manifest.Version)
	}
	if err := m.loadEvacuations(state.Evacuations); err != nil {
		return err
	}
	before := m.elapsed()
	m.exits.Load(state.Exits)
	m.settings, m.claims, m.manifest = settings, claims, state.Manifest
	m.recordAdvance(before)
	return nil
}

// Changed returns a channel that is closed at the next change of the settings, the
// manifest, the evacuations or the exits.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// Revision returns the revision of the settings.
func (m *Machine) Revision() cleat.Revision {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.settings.Revision()
}

// Token returns the token whose secret has the given hash.
func (m *Machine) Token(hash string) (config.Token, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.settings.Token(hash)
}

// Delta returns what changed in the settings after a revision.
func (m *Machine) Delta(after cleat.Revision) *cleat.Settings {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.settings.Delta(after)
}

// read runs f on the settings, which it must not keep.
func (m *Machine) read(f func(s *config.State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(m.settings)
}

// Claims returns the number of stored claims and the holders of running ones, each with
// its number of running claims.
func (m *Machine) Claims() (n int, holders map[claim.Holder]int) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.claims.Len(), m.claims.Holders()
}

func encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		// All types encoded here are supported by msgpack.
		panic(err)
	}
	return b
}
