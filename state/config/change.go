package config

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"marigoldcleat.example/cleat"
)

// ChangeCommand is a change as stored in the replicated log.
type ChangeCommand struct {
	Change cleat.Change `msgpack:"c"`
	Token  string       `msgpack:"t"` // Hash of the secret that authorises the change.
	At     time.Time    `msgpack:"a"` // Time of the proposer's clock, copied to the history and the result.
}

// CheckChange validates the parts of a change that don't depend on the state and compacts
// the JSON values. The proposer calls it and Apply does not, so that replicas of
// different versions can't disagree about a command in the log.
func CheckChange(c *cleat.Change) error {
	if c.Operation == "" || len(c.Operation) > MaxOperationIDBytes {
		return trace.BadParameter("CheckChange: the operation id must have 1 to %d bytes", MaxOperationIDBytes)
	}
	if len(c.Ops) == 0 || len(c.Ops) > MaxChangeOps {
		return trace.BadParameter("CheckChange: a change must have 1 to %d writes", MaxChangeOps)
	}
	seen := make(map[string]bool, len(c.Ops))
	bytes := 0
	for i := range c.Ops {
		op := &c.Ops[i]
		if seen[op.Path] {
			return trace.BadParameter("CheckChange: %s is written twice", op.Path)
		}
		seen[op.Path] = true
		if err := checkOp(op); err != nil {
			return trace.Wrap(err)
		}
		bytes += len(op.Path) + len(op.Value)
	}
	if bytes > MaxChangeBytes {
		return trace.BadParameter("CheckChange: the change exceeds %d bytes", MaxChangeBytes)
	}
	return nil
}

func checkOp(op *cleat.ChangeOp) error {
	if len(op.Value) == 0 || string(op.Value) == "null" {
		op.Value = nil
		_, err := ParsePath(op.Path)
		return err
	}
	value, err := Validate(op.Path, op.Value)
	if err != nil {
		return err
	}
	op.Value = value
	return nil
}

// Apply executes a committed change. A resent change gets the recorded result.
func (s *State) Apply(c ChangeCommand) cleat.ChangeResult {
	t, ok := s.tokens[c.Token]
	if !ok {
		return s.refuse(cleat.ChangeUnauthorised, "the token is unknown", c.At)
	}
	digest := digestOf(c.Token, c.Change.Ops)
	if recorded, ok := s.operations.find(c.Change.Operation); ok {
		return s.replayResult(recorded, digest, c.At)
	}
	r := s.applyChange(t, c)
	s.operations.add(c.Change.Operation, digest, r)
	return r
}

// replayResult returns the recorded result, unless the operation id was used for
// another change.
func (s *State) replayResult(recorded operation, digest []byte, at time.Time) cleat.ChangeResult {
	if string(recorded.Digest) != string(digest) {
		return s.refuse(cleat.ChangeReused, "the operation id was used for another change", at)
	}
	return recorded.Result
}

func (s *State) applyChange(t Token, c ChangeCommand) cleat.ChangeResult {
	for _, op := range c.Change.Ops {
		if !t.CanWrite(op.Path) {
			return s.refuse(cleat.ChangeForbidden, fmt.Sprintf("token %s may not write %s", t.ID, op.Path), c.At)
		}
	}
	if r, conflicts := s.findConflict(c); conflicts {
		return r
	}
	if problem := s.findProblem(c.Change.Ops); problem != "" {
		return s.refuse(cleat.ChangeInvalid, problem, c.At)
	}
	s.revision++
	for _, op := range c.Change.Ops {
		s.applyOp(op)
	}
	s.history.add(newHistoryEntry(s.revision, t, c))
	return cleat.ChangeResult{Accepted: true, Revision: s.revision, At: normalizeTime(c.At)}
}

// findConflict returns the refusal of a change in which any expected revision is not the current one.
func (s *State) findConflict(c ChangeCommand) (cleat.ChangeResult, bool) {
	for _, op := range c.Change.Ops {
		current := s.settings[op.Path]
		if op.Expected == nil || *op.Expected == current.Revision {
			continue
		}
		current.Path = op.Path
		r := s.refuse(cleat.ChangeConflict, fmt.Sprintf("%s is at revision %d, not %d", op.Path, current.Revision, *op.Expected), c.At)
		r.Conflict = &current
		return r, true
	}
	return cleat.ChangeResult{}, false
}

// findProblem describes the limit or rule that the tree would violate after the writes,
// empty when there is none.
func (s *State) findProblem(ops []cleat.ChangeOp) string {
	if problem := s.findKeyProblem(ops); problem != "" {
		return problem
	}
	count, bytes := len(s.settings), s.bytes
	for _, op := range ops {
		if old, ok := s.settings[op.Path]; ok {
			count--
			bytes -= settingBytes(old)
		}
		if op.Value != nil {
			count++
			bytes += len(op.Path) + len(op.Value)
		}
	}
	if count > MaxSettings {
		return fmt.Sprintf("there would be more than %d settings", MaxSettings)
	}
	if bytes > MaxTreeBytes {
		return fmt.Sprintf("the settings would exceed %d bytes", MaxTreeBytes)
	}
	return ""
}

// findKeyProblem describes a key hash that two workspaces would own, empty when there
// is none.
func (s *State) findKeyProblem(ops []cleat.ChangeOp) string {
	written := make(map[string]bool, len(ops))
	for _, op := range ops {
		written[op.Path] = true
	}
	owners := make(map[string]string)
	for _, op := range ops {
		for _, h := range keyHashes(op.Path, op.Value) {
			owner, ok := s.keyOwners[h]
			if !ok || written[owner] {
				owner, ok = owners[h]
			}
			if ok && owner != op.Path {
				return fmt.Sprintf("%s: a key hash belongs to %s already", op.Path, owner)
			}
			owners[h] = op.Path
		}
	}
	return ""
}

func (s *State) refuse(code cleat.ChangeCode, problem string, at time.Time) cleat.ChangeResult {
	return cleat.ChangeResult{Code: code, Problem: problem, Revision: s.revision, At: normalizeTime(at)}
}

// digestOf returns a digest that detects another change with the same operation id.
func digestOf(token string, content any) []byte {
	b, err := msgpack.Marshal(content)
	if err != nil {
		return nil
	}
	h := sha256.New()
	h.Write([]byte(token))
	h.Write(b)
	return h.Sum(nil)
}

// Export returns a batch that writes all settings in a subtree that the token may
// read, without expected revisions.
func (s *State) Export(t Token, subtree string) []cleat.ChangeOp {
	settings := s.List(t, subtree)
	ops := make([]cleat.ChangeOp, 0, len(settings))
	for _, setting := range settings {
		ops = append(ops, cleat.ChangeOp{Path: setting.Path, Value: append(json.RawMessage(nil), setting.Value...)})
	}
	return ops
}
