package trial

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat/state/quorum"
)

// errUnanswered stands for a caller who got no answer.
var errUnanswered error = trace.ConnectionProblem(nil, "no answer")

// machine is a state machine that remembers all commands in order.
type machine struct {
	node     *Node
	commands []string
	known    map[string]bool
}

func newMachine(n *Node) *machine {
	return &machine{node: n, known: map[string]bool{}}
}

// Apply adds the command and returns how many there are.
func (m *machine) Apply(index uint64, command []byte) []byte {
	m.node.cluster.check.applied(m.node, index, string(command))
	m.add(string(command))
	return []byte(fmt.Sprint(len(m.commands)))
}

func (m *machine) add(command string) {
	if m.known[command] {
		m.node.cluster.check.fail("applied_once", "%s applied %q twice", m.node.id, command)
	}
	m.known[command] = true
	m.commands = append(m.commands, command)
}

// Snapshot returns all commands.
func (m *machine) Snapshot() ([]byte, error) {
	return []byte(strings.Join(m.commands, "\n")), nil
}

// Restore replaces the commands.
func (m *machine) Restore(snapshot []byte) error {
	m.commands = nil
	m.known = map[string]bool{}
	if len(snapshot) == 0 {
		return nil
	}
	for _, command := range strings.Split(string(snapshot), "\n") {
		m.add(command)
	}
	return nil
}

// checker notes what was promised and seen.
type checker struct {
	violations []string
	made       int
	accepted   []string
	refused    map[string]bool
	log        map[uint64]string           // Commands by index, as first applied anywhere.
	leader     map[uint64]quorum.ReplicaID // By term.
	leaseTerm  uint64                      // The highest term in which the lease was held.
	seen       map[string]bool             // Violations reported already.
}

func newChecker() *checker {
	return &checker{
		refused: map[string]bool{},
		log:     map[uint64]string{},
		leader:  map[uint64]quorum.ReplicaID{},
		seen:    map[string]bool{},
	}
}

func (k *checker) fail(name, format string, args ...any) {
	text := name + ": " + fmt.Sprintf(format, args...)
	if !k.seen[text] {
		k.seen[text] = true
		k.violations = append(k.violations, text)
	}
}

func (k *checker) propose() string {
	k.made++
	return fmt.Sprintf("command %d", k.made)
}

func (k *checker) proposed(command string, err error) {
	switch {
	case err == nil:
		k.accepted = append(k.accepted, command)
	case trace.IsLimitExceeded(err):
		k.refused[command] = true
	case !trace.IsConnectionProblem(err):
		k.fail("propose", "%q: unexpected error %v", command, err)
	}
}

func (k *checker) applied(n *Node, index uint64, command string) {
	if k.refused[command] {
		k.fail("refused_applied", "%s applied %q, which was refused", n.id, command)
	}
	former, ok := k.log[index]
	if ok && former != command {
		k.fail("diverged", "%s applied %q at %d, where another applied %q", n.id, command, index, former)
	}
	k.log[index] = command
}

// read checks that a confirmed read sees all that was accepted before it began.
func (k *checker) read(n *Node, m *machine, before []string) {
	for _, command := range before {
		if !m.known[command] {
			k.fail("read_stale", "a confirmed read at %s misses %q", n.id, command)
		}
	}
}

func (k *checker) leaders(c *Cluster) {
	for _, n := range c.nodes {
		if !n.Up() {
			continue
		}
		term, leads := n.replica.LeaderTerm()
		if !leads {
			continue
		}
		id := n.replica.ID()
		if other, ok := k.leader[term]; ok && other != id {
			k.fail("one_leader", "%s and %s lead term %d", other, id, term)
		}
		k.leader[term] = id
	}
}

// leases checks that one instance at most may issue orders, and none after one
// of a later term could.
func (k *checker) leases(c *Cluster) {
	holder := ""
	for _, n := range c.nodes {
		if !n.Up() {
			continue
		}
		term, held := n.replica.Lease(n.local())
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

// CheckAll compares the members that are up with all that was promised.
func (c *Cluster) CheckAll() {
	for _, n := range c.nodes {
		if !n.isMember() {
			continue
		}
		c.check.read(n, n.machine, c.check.accepted)
		for command := range c.check.refused {
			if n.machine.known[command] {
				c.check.fail("refused_applied", "%s holds %q, which was refused", n.id, command)
			}
		}
	}
}

// Accepted returns how many commands were accepted.
func (c *Cluster) Accepted() int { return len(c.check.accepted) }

// Proposed returns how many commands were proposed.
func (c *Cluster) Proposed() int { return c.check.made }
