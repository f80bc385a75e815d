// Package admit limits how many requests an upstream runs at once, from what
// its agent sees: time to first token, time between tokens, throughput, busy
// time and failures. What the upstream reports of itself only starts it off.
package admit
