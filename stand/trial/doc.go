// Package trial runs replicas of the quorum log on virtual time with disk and link
// faults, and checks the invariants of the log: no accepted command is lost or
// applied twice, no refused command is applied, replicas never diverge, a term has
// at most one leader, the lease to issue orders has at most one holder, and
// confirmed reads see all commands accepted before them. Tests and cmd/gauge use it.
package trial
