package cleat

import (
	"hash/fnv"
	"io"
)

// Parameters of the prefix digests of prompts.
const (
	// PrefixBlockBytes is the size of a prefix block, in bytes of prompt text.
	PrefixBlockBytes = 512
	// MaxPrefixDigests bounds the number of digests of one prompt; text beyond that many
	// blocks is not digested.
	MaxPrefixDigests = 32
)

// PrefixDigests returns a digest for each complete block at the start of a prompt.
// Digest n covers all text up to the end of block n, so prompts with a common
// prefix share their first digests.
func PrefixDigests(prompt string) []uint64 {
	n := min(len(prompt)/PrefixBlockBytes, MaxPrefixDigests)
	digests := make([]uint64, 0, n)
	h := fnv.New64a()
	for i := range n {
		// Writing to a hash never fails.
		_, _ = io.WriteString(h, prompt[i*PrefixBlockBytes:(i+1)*PrefixBlockBytes])
		digests = append(digests, h.Sum64())
	}
	return digests
}
