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
)

// command is one entry of the replicated log; exactly one field is set.
type command struct {
	Change *config.ChangeCommand `msgpack:"c,omitempty"`
	Token  *config.TokenCommand  `msgpack:"t,omitempty"`
	Claim  *claim.Command        `msgpack:"l,omitempty"`
	Image  []byte                `msgpack:"i,omitempty"` // The state of a lost log, for an empty one.

	Manifest *cleat.Manifest `msgpack:"m,omitempty"`
}

// image is the whole machine in the form a snapshot of the log keeps.
type image struct {
	Settings []byte `msgpack:"s"`
	Claims   []byte `msgpack:"c"`

	Manifest cleat.Manifest `msgpack:"m"`
}

// Machine is the state machine under the replicated log: settings and claims.
type Machine struct {
	clock cleat.Clock

	mu       sync.RWMutex
	settings *config.State
	claims   *claim.Table
	manifest cleat.Manifest // The newest; version 0 when there is none.
	moved    time.Time      // When the claims' time last moved, by this process's clock.
	changed  chan struct{}  // Closed at the next change of the settings.
}

var _ cleat.StateMachine = (*Machine)(nil)

// NewMachine returns a machine without settings or claims.
func NewMachine(clock cleat.Clock) *Machine {
	return &Machine{
		clock:    clock,
		settings: config.NewState(),
		claims:   claim.NewTable(),
		moved:    clock.Now(),
		changed:  make(chan struct{}),
	}
}

// Apply carries out a committed command and returns its result.
func (m *Machine) Apply(_ uint64, b []byte) []byte {
	var c command
	if err := msgpack.Unmarshal(b, &c); err != nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case c.Change != nil:
		return m.settled(m.settings.Apply(*c.Change))
	case c.Token != nil:
		return m.settled(m.settings.ApplyToken(*c.Token))
	case c.Claim != nil:
		before := m.claims.Elapsed()
		r := m.claims.Apply(*c.Claim)
		m.noteTime(before)
		return encode(&r)
	case c.Manifest != nil:
		return encode(m.replaceManifest(*c.Manifest))
	case c.Image != nil:
		return m.settled(m.seed(c.Image))
	}
	return nil
}

// seed takes over the state of a lost log if this one is empty.
func (m *Machine) seed(b []byte) cleat.ChangeResult {
	if !m.empty() {
		return cleat.ChangeResult{Code: cleat.ChangeConflict, Problem: "the log is not empty", Revision: m.settings.Revision()}
	}
	if err := m.load(b); err != nil {
		return cleat.ChangeResult{Code: cleat.ChangeInvalid, Problem: trace.UserMessage(err)}
	}
	m.settings.TakeOver()
	return cleat.ChangeResult{Accepted: true, Revision: m.settings.Revision()}
}

// replaceManifest puts a manifest in force when its version is the highest.
func (m *Machine) replaceManifest(next cleat.Manifest) *cleat.ManifestResult {
	accepted := next.Version > m.manifest.Version
	if accepted {
		m.manifest = next
		m.wake()
	}
	return &cleat.ManifestResult{Accepted: accepted, Version: m.manifest.Version}
}

// Manifest returns the newest manifest; version 0 means that there is none.
func (m *Machine) Manifest() cleat.Manifest {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.manifest
}

func (m *Machine) empty() bool {
	tokens := m.settings.Tokens(config.Token{Subtree: config.FleetSubtree})
	return m.settings.Revision() == 0 && len(tokens) == 0 && m.claims.Len() == 0 && m.manifest.Version == 0
}

// settled wakes who waits for a change and encodes the answer to it.
func (m *Machine) settled(r cleat.ChangeResult) []byte {
	if r.Accepted {
		m.wake()
	}
	return encode(&r)
}

func (m *Machine) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Machine) noteTime(before time.Duration) {
	if m.claims.Elapsed() > before {
		m.moved = m.clock.Now()
	}
}

// Elapsed returns the time for which control has run by now: the claims' time
// and what this process's monotonic clock saw pass since it last moved.
func (m *Machine) Elapsed(now time.Time) time.Duration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.claims.Elapsed() + max(0, now.Sub(m.moved))
}

// Snapshot returns the whole state.
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
	b, err := msgpack.Marshal(&image{Settings: settings, Claims: claims, Manifest: m.manifest})
	return b, trace.Wrap(err, "Machine.Snapshot")
}

// Restore replaces the state by a snapshot, which must not be older.
func (m *Machine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.load(snapshot); err != nil {
		return trace.Wrap(err, "Machine.Restore")
	}
	m.wake()
	return nil
}

func (m *Machine) load(b []byte) error {
	var im image
	if err := msgpack.Unmarshal(b, &im); err != nil {
		return trace.BadParameter("the state can't be read: %v", err)
	}
	settings, claims := config.NewState(), claim.NewTable()
	if err := settings.Unmarshal(im.Settings); err != nil {
		return err
	}
	if err := claims.Unmarshal(im.Claims); err != nil {
		return err
	}
	if settings.Revision() < m.settings.Revision() {
		assert.Fail("config.revision", "a state at revision %d would replace revision %d", settings.Revision(), m.settings.Revision())
		return trace.BadParameter("revision %d is older than %d", settings.Revision(), m.settings.Revision())
	}
	if im.Manifest.Version < m.manifest.Version {
		assert.Fail("manifest.version", "a state with manifest %d would replace %d", im.Manifest.Version, m.manifest.Version)
		return trace.BadParameter("manifest %d is older than %d", im.Manifest.Version, m.manifest.Version)
	}
	before := m.claims.Elapsed()
	m.settings, m.claims, m.manifest = settings, claims, im.Manifest
	m.noteTime(before)
	return nil
}

// Changed returns a channel that is closed at the next change of the settings.
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

// Token returns the token whose secret has a hash.
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

// Claims returns how many claims are kept and who holds running ones.
func (m *Machine) Claims() (n int, holders map[claim.Holder]int) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.claims.Len(), m.claims.Holders()
}

func encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		// The types encoded here hold nothing that msgpack can't encode.
		panic(err)
	}
	return b
}
