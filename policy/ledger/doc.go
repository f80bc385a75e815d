// Package ledger keeps the fleet's service totals. Each agent has an AgentLedger, which
// charges workspaces for service; each control instance has a Relay, which merges
// the agents' cumulative totals and returns their sums.
//
// Service is cost divided by the workspace's share. It is counted by (agent,
// incarnation, workspace). The counters only increase, and only by service that was
// used, so duplicated, late or reordered reports change nothing. The estimated
// remaining service of running requests is a separate gauge: each report replaces it,
// and it is discarded when its agent is lost.
package ledger
