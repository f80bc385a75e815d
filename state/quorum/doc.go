// Package quorum is a replicated log: a command counts once a quorum of
// replicas has synced it, and then never changes.
//
// It follows Raft as published by Ongaro and Ousterhout ("In Search of an
// Understandable Consensus Algorithm", 2014), with these parts of Ongaro's
// dissertation ("Consensus: Bridging Theory and Practice", 2014): pre-vote and
// a leader that steps down when it can't reach a quorum (chapters 6 and 9),
// membership changes of one replica at a time and learners (chapter 4), reads
// confirmed by a quorum (chapter 6), leadership transfer (chapter 3) and a
// leader that writes its own log while it sends (chapter 10).
//
// Core decides and does nothing else: no goroutine, clock or file. Replica adds
// the state machine, the waiting callers and the batches for the log store.
// Host runs a Replica on a disk and links. One mutex in Host covers the Replica;
// the disk worker holds it only to take a batch and to report it synced, never
// while it writes, and callbacks to callers never take it.
//
// A replica's identity is a random number written with its data. A disk that
// was wiped gets a new one, which no member list names, so it can't vote under
// the old one. It joins as a learner through a committed change.
//
// Leases use only differences of local time. They are safe while the rates of
// any two clocks differ from true time by at most Config.MaxClockDrift. The time
// at which a process is suspended between asking for the lease and sending an
// order is not covered by the lease, but by the fencing number.
package quorum
