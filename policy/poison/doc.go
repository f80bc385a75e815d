// Package poison finds the prompt blocks that crash upstreams, and keeps requests with
// them away.
//
// A block may crash each upstream that begins to answer a request with it, whatever
// else the prompt holds. Requests that run beside it break off too, and share its
// other blocks. What tells them apart: a block that is in requests which an ending
// upstream had not begun to answer, again and again, and in no answer that began. A
// block is quarantined when so many upstreams ended one after the other that chance
// doesn't explain it, going by how often requests break off at present. Each answer
// that begins clears all blocks of its prompt. Blocks that always came together can't
// be told apart: requests are then refused only if they have all of them, so that a
// caller can't have another's block refused by adding it to prompts that crash
// upstreams.
//
// A whole request may crash upstreams as well, and come again under other ids.
// RequestTable knows equal requests by a digest; other thresholds hold for them, since
// callers poll with equal requests all the time.
//
// Entries tell each other of such failures, of blocks that were served after all, and
// of quarantined blocks. Quarantine ends once no more requests with the block come.
//
// The package does no I/O and is not safe for concurrent use.
package poison
