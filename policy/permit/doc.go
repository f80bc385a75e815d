// Package permit keeps to the rate limits that upstreams name: the requests a second
// that one takes from all entries together.
//
// For each limited upstream, one entry keeps a token bucket at that rate and grants
// permits to the others, in proportion to what each could use. An entry sends a
// request to a limited upstream only with a permit. A division by the number of
// entries would leave most of a limit unused: callers and prompts' cached blocks draw
// the requests for one upstream to few entries. Divisions by the demand that others
// last reported exceed the limit when the demand moves.
//
// All entries choose the granting entry by the same hash over those that they hear
// from, and use only its permits. An entry that takes over first waits until the
// earlier permits have expired. One that doesn't hear from all members grants a
// corresponding part of the rate, so that the parts of a divided fleet together keep
// to it.
//
// The newest answer decides on the limit, also when another entry received it. Limits,
// demand and permits travel in the placement reports.
//
// Upstreams that have just started are cold: they tolerate few requests a second. The
// first entry by the same hash owns such an upstream and sends to it at a rate of which
// two owners keep to the bound; the others send nothing. Grants would be too coarse, as
// they may all be used at once. What an entry observes itself, it tells the others.
//
// The package does no I/O and is not safe for concurrent use.
package permit
