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

// proposeOn proposes n commands on a node, some time apart.
func proposeOn(c *trial.Cluster, node *trial.Node, n int, apart time.Duration) {
	for range n {
		node.Propose()
		c.Run(apart)
	}
}

// settle takes all faults back and expects that nothing was violated.
func settle(c *trial.Cluster) {
	GinkgoHelper()
	Expect(c.Settle()).To(BeEmpty())
}
