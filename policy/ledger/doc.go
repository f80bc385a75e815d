// Package ledger keeps the fleet's service totals: a Book at each agent, which
// charges and credits workspaces, and a Relay at each control instance, which
// merges the agents' cumulative totals and hands back their sums.
//
// Service is cumulative by (agent, incarnation, workspace) and only rises, by
// what was used, so a doubled, late or reordered report changes nothing. What
// running work is still expected to use is a level beside it, which each report
// replaces and which counts no more when its agent is lost.
package ledger
