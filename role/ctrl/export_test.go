package ctrl

import (
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/state/claim"
	"marigoldcleat.example/cleat/state/config"
	"marigoldcleat.example/cleat/state/quorum"
)

// EncodeChange returns a change as the replicated log holds it.
func EncodeChange(c config.ChangeCommand) []byte { return encode(&command{Change: &c}) }

// EncodeToken returns a change of the tokens as the replicated log holds it.
func EncodeToken(c config.TokenCommand) []byte { return encode(&command{Token: &c}) }

// EncodeClaim returns a step of the claims as the replicated log holds it.
func EncodeClaim(c claim.Command) []byte { return encode(&command{Claim: &c}) }

// PlanMembers gives the next change of the log's members; an empty action means none.
func PlanMembers(s *quorum.Status, lostAfter time.Duration) (cleat.ReplicaAction, cleat.InstanceID) {
	step, _ := planMembers(s, lostAfter)
	return step.action, step.instance
}
