package quorum_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat/assert"
	"marigoldcleat.example/cleat/quorum"
	"marigoldcleat.example/cleat/trial"
)

func TestQuorum(t *testing.T) {
	defer assert.SetHook(func(name, msg string) { panic(name + ": " + msg) })()
	RegisterFailHandler(Fail)
	RunSpecs(t, "quorum")
}

// small makes snapshots, segments and chunks so small that a test meets many.
func small(size, spare int, seed int64) trial.Config {
	return trial.Config{
		Size:      size,
		Spare:     spare,
		Seed:      seed,
		Delay:     500 * time.Microsecond,
		Jitter:    500 * time.Microsecond,
		SyncDelay: 2 * time.Millisecond,
		Segment:   2000,
		Quorum: quorum.Config{
			SnapshotEntries:    40,
			TrailingEntries:    8,
			SnapshotChunkBytes: 100,
			MaxAppendBytes:     400,
			MaxInflightEntries: 16,
			ProposeTimeout:     2 * time.Second,
		},
	}
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
