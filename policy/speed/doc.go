// Package speed estimates how fast the upstreams of a service are, relative to each
// other, from what all entries see of their streams.
//
// An engine makes a step of its batch for each token of a stream, and reads prompts
// between the steps. The tokens of a stretch of a stream, the requests that run beside
// it and the prompt tokens that the engine was sent say how long the stretch would take at
// a reference engine; the quotient is a sample of the speed. The reference is fixed, so
// that the samples of several entries can be added and no estimate depends on itself.
// Entries exchange their samples in the placement reports.
//
// An upstream's speed has two parts. The lasting one is that of its machine: the mean of
// the last samples, relative to the service's median. The momentary one is the slowness
// that upstreams state in their answers and the deviation of the newest samples; its
// weight decays within about a second. Deviations below the accuracy of the samples count
// as none, so that upstreams that are equal have equal speeds.
//
// The package does no I/O and is not safe for concurrent use.
package speed
