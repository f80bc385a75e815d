// Package ledger keeps the fleet's service totals: a Book at each agent, which
// charges and credits workspaces, and a Relay at each control instance, which
// merges the agents' cumulative totals and hands back their sums.
//
// A total is cumulative by (agent, incarnation, workspace) and only rises, so a
// doubled, late or reordered report changes nothing. What an estimate charged
// too much is given back through a second rising counter, the credit.
package ledger
