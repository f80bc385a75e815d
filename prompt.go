package cleat

import (
	"hash/fnv"
	"io"
)

// Prefix digests of prompts.
const (
	// PrefixBlockBytes is how much prompt text one digest adds to the one before.
	PrefixBlockBytes = 512
	// MaxPrefixDigests bounds the digests of one prompt; what follows is not digested.
	MaxPrefixDigests = 32
)

// PrefixDigests returns a digest for each whole block at the start of a prompt;
// digest n stands for all text up to the end of block n, so prompts with a
// common beginning share their first digests.
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
