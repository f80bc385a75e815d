// Package claim holds the durable claims on idempotency keys as deterministic
// replicated state: which request may run under a key that must not run twice, and its outcome.
// Control instances apply the commands; entries ask for a claim before they run a request.
package claim
