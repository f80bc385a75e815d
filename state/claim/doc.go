// Package claim holds the durable claims on idempotency keys as deterministic
// replicated state: for each key, which request may run, so that only one does, and its outcome.
// Control instances apply the commands; entries ask for a claim before they run a request.
package claim
