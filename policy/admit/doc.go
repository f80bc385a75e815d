// Package admit adapts the concurrency limit of an upstream to what its agent
// measures: time to first token, time between tokens, request duration and
// failures. The number of slots that the upstream reports is not a measurement: it
// only sets the initial limit, above which the limit does not grow.
package admit
