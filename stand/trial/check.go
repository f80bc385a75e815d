package trial

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat/state/quorum"
)

// errNoAnswer is the outcome of a proposal that was never answered.
var errNoAnswer error = trace.ConnectionProblem(nil, "no answer")

// machine is a state machine that keeps all applied commands in order.
type machine struct {
	node     *Node
	commands []string
	applied  map[string]bool
}

func newMachine(n *Node) *machine {
	return &machine{node: n, applied: map[string]bool{}}
}

// Apply appends the command and returns the number of commands.
func (m *machine) Apply(index uint64, command []byte) []byte {
	m.node.cluster.check.recordApplied(m.node, index, string(command))
	m.add(string(command))
	return []byte(fmt.Sprint(len(m.commands)))
}

func (m *machine) add(command string) {
	if m.applied[command] {
		m.node.cluster.check.fail("applied_once", "%s applied %q twice", m.node.id, command)
	}
	m.applied[command] = true
	m.commands = append(m.commands, command)
}

// Snapshot returns all commands.
func (m *machine) Snapshot() ([]byte, error) {
	return []byte(strings.Join(m.commands, "\n")), nil
}

// Restore replaces the commands with those of a snapshot.
func (m *machine) Restore(snapshot []byte) error {
	m.commands = nil
	m.applied = map[string]bool{}
	if len(snapshot) == 0 {
		return nil
	}
	for _, command := range strings.Split(string(snapshot), "\n") {
		m.add(command)
	}
	return nil
}

// checker records the outcomes of proposals, the commands that replicas apply, the
// leader of each term and the highest term of a lease, and collects the violations
// of invariants.
type checker struct {
	violations   []string
	proposals    int
	accepted     []string
	refused      map[string]bool
	appliedAt    map[uint64]string // Commands by index, as last applied by any instance.
	leaderByTerm map[uint64]quorum.ReplicaID
	leaseTerm    uint64          // The highest term in which the lease was held.
	reported     map[string]bool // Texts in violations, so that each is listed once.
}

func newChecker() *checker {
	return &checker{
		refused:      map[string]bool{},
		appliedAt:    map[uint64]string{},
		leaderByTerm: map[uint64]quorum.ReplicaID{},
		reported:     map[string]bool{},
	}
}

func (k *checker) fail(name, format string, args ...any) {
	text := name + ": " + fmt.Sprintf(format, args...)
	if !k.reported[text] {
		k.reported[text] = true
		k.violations = append(k.violations, text)
	}
}

func (k *checker) newCommand() string {
	k.proposals++
	return fmt.Sprintf("command %d", k.proposals)
}

func (k *checker) recordOutcome(command string, err error) {
	switch {
	case err == nil:
		k.accepted = append(k.accepted, command)
	case trace.IsLimitExceeded(err):
		k.refused[command] = true
	case !trace.IsConnectionProblem(err):
		k.fail("propose", "%q: unexpected error %v", command, err)
	}
}

func (k *checker) recordApplied(n *Node, index uint64, command string) {
	if k.refused[command] {
		k.fail("refused_applied", "%s applied %q, which was refused", n.id, command)
	}
	previous, ok := k.appliedAt[index]
	if ok && previous != command {
		k.fail("diverged", "%s applied %q at %d, where another applied %q", n.id, command, index, previous)
	}
	k.appliedAt[index] = command
}

// checkContains checks that the state of an instance contains the given commands: for a
// confirmed read those accepted before it began, for CheckAll all accepted ones.
func (k *checker) checkContains(n *Node, m *machine, commands []string) {
	for _, command := range commands {
		if !m.applied[command] {
			k.fail("read_stale", "the state of %s misses %q, which was accepted earlier", n.id, command)
		}
	}
}

func (k *checker) checkLeaders(c *Cluster) {
	for _, n := range c.nodes {
		if !n.Up() {
			continue
		}
		term, leads := n.replica.LeaderTerm()
		if !leads {
			continue
		}
		id := n.replica.ID()
		if other, ok := k.leaderByTerm[term]; ok && other != id {
			k.fail("one_leader", "%s and %s lead term %d", other, id, term)
		}
		k.leaderByTerm[term] = id
	}
}

// checkLeases checks that at most one instance holds the lease, which permits it to
// issue orders, and that the term of the lease never decreases.
func (k *checker) checkLeases(c *Cluster) {
	holder := ""
	for _, n := range c.nodes {
		if !n.Up() {
			continue
		}
		term, held := n.replica.Lease(n.localTime())
		if !held {
			continue
		}
		if holder != "" {
			k.fail("one_lease", "%s and %s hold the lease at %s", holder, n.id, c.now)
		}
		if term < k.leaseTerm {
			k.fail("lease_order", "%s holds the lease of term %d after one of term %d", n.id, term, k.leaseTerm)
		}
		k.leaseTerm = term
		holder = string(n.id)
	}
}

// CheckAll checks that the members that are up hold every accepted command and no
// refused one.
func (c *Cluster) CheckAll() {
	for _, n := range c.nodes {
		if !n.isMember() {
			continue
		}
		c.check.checkContains(n, n.machine, c.check.accepted)
		for command := range c.check.refused {
			if n.machine.applied[command] {
				c.check.fail("refused_applied", "%s holds %q, which was refused", n.id, command)
			}
		}
	}
}

// Accepted returns how many commands were accepted.
func (c *Cluster) Accepted() int { return len(c.check.accepted) }

// Proposed returns how many commands were proposed.
func (c *Cluster) Proposed() int { return c.check.proposals }
