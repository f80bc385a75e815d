package claim

import (
	"time"

	"marigoldcleat.example/cleat"
)

// Holder is one incarnation of the entry that holds a claim.
type Holder struct {
	Instance    cleat.InstanceID  `msgpack:"i"`
	Incarnation cleat.Incarnation `msgpack:"n"`
}

// Command is one change to the claims, as stored in the replicated log; exactly
// one of Claim, Outcome, Lost and Tick is set.
type Command struct {
	// Elapsed is the time for which control has run. The proposer computes it from
	// the last applied command and its own monotonic clock, not from a wall
	// clock, whose jumps could expire a claim.
	Elapsed time.Duration       `msgpack:"e"`
	Holder  Holder              `msgpack:"h"`
	Claim   *cleat.Claim        `msgpack:"c,omitempty"`
	Outcome *cleat.ClaimOutcome `msgpack:"o,omitempty"`
	Lost    bool                `msgpack:"l,omitempty"` // The holder, in this and earlier incarnations, is lost.
	Tick    bool                `msgpack:"t,omitempty"` // Only advances the elapsed time.
}
