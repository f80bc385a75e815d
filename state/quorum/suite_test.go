package quorum_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat/stand/assert"
	"marigoldcleat.example/cleat/stand/trial"
)

func TestQuorum(t *testing.T) {
	defer assert.SetHook(func(name, msg string) { panic(name + ": " + msg) })()
	RegisterFailHandler(Fail)
	RunSpecs(t, "quorum")
}

// proposeOn proposes n commands on a node, waiting interval after each.
func proposeOn(c *trial.Cluster, node *trial.Node, n int, interval time.Duration) {
	for range n {
		node.Propose()
		c.Run(interval)
	}
}

// settle ends all faults and expects that no invariant was violated.
func settle(c *trial.Cluster) {
	GinkgoHelper()
	Expect(c.Settle()).To(BeEmpty())
}
