package claim

import (
	"time"

	"marigoldcleat.example/cleat"
)

// Holder is one life of the entry that holds a claim.
type Holder struct {
	Instance    cleat.InstanceID  `msgpack:"i"`
	Incarnation cleat.Incarnation `msgpack:"n"`
}

// Command is one step of the claims as it stands in the replicated log; exactly
// one of Claim, Outcome, Lost and Tick is set.
type Command struct {
	// Elapsed is the time for which control has run, as its proposer reckons it
	// from the last applied command and its own monotonic clock. Wall clocks
	// play no part, so that their jumps can't expire a claim.
	Elapsed time.Duration       `msgpack:"e"`
	Holder  Holder              `msgpack:"h"`
	Claim   *cleat.Claim        `msgpack:"c,omitempty"`
	Outcome *cleat.ClaimOutcome `msgpack:"o,omitempty"`
	Lost    bool                `msgpack:"l,omitempty"` // The holder, in this and earlier incarnations, is gone.
	Tick    bool                `msgpack:"t,omitempty"` // Only moves the time.
}
