package ctrl

import (
	"marigoldcleat.example/cleat/state/claim"
	"marigoldcleat.example/cleat/state/config"
)

// EncodeChange returns a change as the replicated log holds it.
func EncodeChange(c config.ChangeCommand) []byte { return encode(&command{Change: &c}) }

// EncodeToken returns a change of the tokens as the replicated log holds it.
func EncodeToken(c config.TokenCommand) []byte { return encode(&command{Token: &c}) }

// EncodeClaim returns a step of the claims as the replicated log holds it.
func EncodeClaim(c claim.Command) []byte { return encode(&command{Claim: &c}) }
