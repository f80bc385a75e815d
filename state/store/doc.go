// Package store keeps an append-only log and its snapshots in one data folder.
//
// Records are length-prefixed and checksummed, and count as stored once Sync
// returned nil. Every file is written under a temporary name, synced, renamed
// and followed by a folder sync, so a file under its final name always begins
// with a complete header and complete initial records.
//
// Each record carries the size of its segment that was known to be synced when
// it was written. That distinguishes a torn tail, which is truncated, from damage
// before synced records, for which Open fails. After a failed write or sync nothing
// more is written to that segment, because the operating system may already
// have dropped the pages: the unsynced records go to a new segment whose header
// states how much of the previous one is valid.
//
// Damage inside the last synced group of records, with nothing after it, can't
// be distinguished from a torn tail.
package store
