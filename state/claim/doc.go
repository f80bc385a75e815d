// Package claim holds the durable claims on idempotency keys as deterministic
// replicated state: who may run a request that must not repeat, and how it ended.
package claim
