// Package quorum implements a replicated log for the control instances: a command
// is committed once a quorum of replicas has synced it, and never changes afterwards.
//
// It follows Raft as published by Ongaro and Ousterhout ("In Search of an
// Understandable Consensus Algorithm", 2014), with these parts of Ongaro's
// dissertation ("Consensus: Bridging Theory and Practice", 2014): pre-vote and
// a leader that steps down when it can't reach a quorum (chapters 6 and 9),
// membership changes of one replica at a time and learners (chapter 4), reads
// confirmed by a quorum (chapter 6), leadership transfer (chapter 3) and a
// leader that writes to its disk in parallel with replication (chapter 10).
//
// Core is the consensus algorithm alone, without goroutines, clock or files.
// Replica adds the state machine, the waiting callers and the batches for the log
// store. Host runs a Replica with a disk and a transport. One mutex in Host
// protects the Replica; the disk worker holds it only to take a batch and to report
// the result of a write, never while it writes, and callbacks to callers never lock it.
//
// A replica's identity is a random number stored with its data. A wiped disk gets
// a new identity that is in no member list, so the replica can't vote under the
// old one. It joins as a learner through a committed membership change.
//
// Leases use only differences of local time. They are safe while the rate of each
// clock differs from true time by at most Config.MaxClockDrift. If the process is
// suspended between checking the lease and sending an order, the lease gives no
// protection; the fencing number does.
package quorum
