package config

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// FleetSubtree is the subtree of a token for the whole fleet.
const FleetSubtree = "/"

// Token gives an operator access to a subtree; only the hash of its secret is stored.
type Token struct {
	ID      string    `json:"id" msgpack:"i"`
	Subtree string    `json:"subtree" msgpack:"s"` // "/" or "/teams/<team>".
	Write   bool      `json:"write" msgpack:"w"`
	Author  string    `json:"author" msgpack:"a"`
	Created time.Time `json:"created" msgpack:"t"`
}

// IsFleetWide reports whether the token is for the whole fleet.
func (t Token) IsFleetWide() bool { return t.Subtree == FleetSubtree }

// CanWrite reports whether the token may write path.
func (t Token) CanWrite(path string) bool {
	return t.Write && InSubtree(path, t.Subtree)
}

// CanRead reports whether the token may read path: its subtree, and for a team
// also its shares and the fleet-wide classes, rules and limits.
func (t Token) CanRead(path string) bool {
	if InSubtree(path, t.Subtree) {
		return true
	}
	team := strings.TrimPrefix(t.Subtree, "/teams/")
	return InSubtree(path, "/fleet/shares/"+team) || InSubtree(path, "/fleet/classes") ||
		InSubtree(path, "/fleet/rules") || path == "/fleet/limits"
}

// TokenCommand creates or revokes a token, as stored in the replicated log.
// Without an author's token it creates the first token of the fleet.
type TokenCommand struct {
	Operation string    `msgpack:"o"`
	By        string    `msgpack:"b"` // Hash of the author's secret.
	At        time.Time `msgpack:"a"`
	Hash      string    `msgpack:"h,omitempty"` // Of the new token's secret.
	Create    *Token    `msgpack:"c,omitempty"`
	Revoke    string    `msgpack:"r,omitempty"` // Id of the token to revoke.
}

// CheckToken validates the parts of a command that don't depend on the state; the
// proposer calls it.
func CheckToken(c TokenCommand) error {
	if c.Operation == "" || len(c.Operation) > MaxOperationIDBytes {
		return trace.BadParameter("CheckToken: the operation id must have 1 to %d bytes", MaxOperationIDBytes)
	}
	if (c.Create == nil) == (c.Revoke == "") {
		return trace.BadParameter("CheckToken: either create or revoke a token")
	}
	if c.Create == nil {
		return nil
	}
	if err := checkName(c.Create.ID); err != nil {
		return trace.BadParameter("CheckToken: id: %v", err)
	}
	if len(c.Hash) != len(cleat.HashKey("")) {
		return trace.BadParameter("CheckToken: the hash must be a SHA-256 in hex")
	}
	return checkSubtree(c.Create.Subtree)
}

func checkSubtree(subtree string) error {
	if subtree == FleetSubtree {
		return nil
	}
	team, ok := strings.CutPrefix(subtree, "/teams/")
	if !ok || checkName(team) != nil {
		return trace.BadParameter("CheckToken: subtree must be / or /teams/<team>, not %q", subtree)
	}
	return nil
}

// Token returns the token whose secret has the given hash.
func (s *State) Token(hash string) (Token, bool) {
	t, ok := s.tokens[hash]
	return t, ok
}

// Tokens returns the tokens inside the reader's subtree, sorted by id, without
// their hashes.
func (s *State) Tokens(reader Token) []Token {
	list := make([]Token, 0)
	for _, t := range s.tokens {
		if InSubtree(t.Subtree, reader.Subtree) {
			list = append(list, t)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// ApplyToken executes a committed creation or revocation.
func (s *State) ApplyToken(c TokenCommand) cleat.ChangeResult {
	author, ok := s.tokens[c.By]
	if !ok && (c.By != "" || len(s.tokens) > 0) {
		return s.refuse(cleat.ChangeUnauthorised, "the token is unknown", c.At)
	}
	if !ok {
		author = Token{ID: "root", Subtree: FleetSubtree, Write: true}
	}
	content := c
	content.At = time.Time{}
	digest := digestOf(c.By, content)
	if recorded, ok := s.operations.find(c.Operation); ok {
		return s.replayResult(recorded, digest, c.At)
	}
	r := s.applyTokenChange(author, c)
	s.operations.add(c.Operation, digest, r)
	return r
}

func (s *State) applyTokenChange(author Token, c TokenCommand) cleat.ChangeResult {
	if c.Create != nil {
		return s.createToken(author, c)
	}
	return s.revokeToken(author, c)
}

func (s *State) createToken(author Token, c TokenCommand) cleat.ChangeResult {
	if !author.CanWrite(c.Create.Subtree) {
		return s.refuse(cleat.ChangeForbidden, fmt.Sprintf("token %s may not create tokens for %s", author.ID, c.Create.Subtree), c.At)
	}
	if _, used := s.tokens[c.Hash]; used || s.tokenHashByID(c.Create.ID) != "" {
		return s.refuse(cleat.ChangeConflict, fmt.Sprintf("token %s exists", c.Create.ID), c.At)
	}
	if len(s.tokens) >= MaxTokens {
		return s.refuse(cleat.ChangeInvalid, fmt.Sprintf("there are %d tokens already", MaxTokens), c.At)
	}
	t := *c.Create
	t.Author, t.Created = author.ID, normalizeTime(c.At)
	s.tokens[c.Hash] = t
	return cleat.ChangeResult{Accepted: true, Revision: s.revision, At: normalizeTime(c.At)}
}

func (s *State) revokeToken(author Token, c TokenCommand) cleat.ChangeResult {
	hash := s.tokenHashByID(c.Revoke)
	if hash == "" {
		return s.refuse(cleat.ChangeInvalid, fmt.Sprintf("there is no token %s", c.Revoke), c.At)
	}
	t := s.tokens[hash]
	if !author.CanWrite(t.Subtree) {
		return s.refuse(cleat.ChangeForbidden, fmt.Sprintf("token %s may not revoke %s", author.ID, t.ID), c.At)
	}
	if s.isLastFleetWriter(t) {
		return s.refuse(cleat.ChangeInvalid, "the last token that may write everything can't be revoked", c.At)
	}
	delete(s.tokens, hash)
	return cleat.ChangeResult{Accepted: true, Revision: s.revision, At: normalizeTime(c.At)}
}

func (s *State) tokenHashByID(id string) string {
	for hash, t := range s.tokens {
		if t.ID == id {
			return hash
		}
	}
	return ""
}

func (s *State) isLastFleetWriter(t Token) bool {
	n := 0
	for _, other := range s.tokens {
		if other.IsFleetWide() && other.Write {
			n++
		}
	}
	return t.IsFleetWide() && t.Write && n == 1
}
