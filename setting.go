package cleat

import (
	"encoding/json"
	"time"
)

// Setting is one document in the tree of settings.
type Setting struct {
	Path     string          `json:"path" msgpack:"p"`
	Value    json.RawMessage `json:"value" msgpack:"v"`
	Revision Revision        `json:"revision" msgpack:"r"` // Revision of the change that wrote it.
}

// ChangeOp is one write of a change; a nil value deletes the path.
type ChangeOp struct {
	Path     string          `json:"path" msgpack:"p"`
	Value    json.RawMessage `json:"value,omitempty" msgpack:"v,omitempty"`
	Expected *Revision       `json:"expected,omitempty" msgpack:"e,omitempty"` // Required current revision of the path; nil accepts any, and zero requires that the path does not exist.
}

// Change is an atomic batch of writes to the settings.
type Change struct {
	Operation string     `json:"operation" msgpack:"o"` // A resent change carries the same operation id.
	Author    string     `json:"author" msgpack:"a"`
	Ops       []ChangeOp `json:"ops" msgpack:"w"`
}

// ChangeCode is the machine-readable reason why a change was refused.
type ChangeCode string

// The codes of refused changes.
const (
	ChangeConflict     ChangeCode = "conflict"         // An expected revision is not the current one: another change came first.
	ChangeInvalid      ChangeCode = "invalid"          // The change is not valid.
	ChangeForbidden    ChangeCode = "forbidden"        // The token may not write the path.
	ChangeUnauthorised ChangeCode = "unauthorised"     // The token is unknown.
	ChangeReused       ChangeCode = "operation_reused" // The operation id was used for another change.
)

// ChangeResult is the result of a change. A resent change gets the first result again.
type ChangeResult struct {
	Accepted bool       `json:"accepted" msgpack:"a"`
	Revision Revision   `json:"revision" msgpack:"r"` // Revision of the change, or the current one when refused.
	Code     ChangeCode `json:"code,omitempty" msgpack:"k,omitempty"`
	Problem  string     `json:"problem,omitempty" msgpack:"p,omitempty"`
	Conflict *Setting   `json:"conflict,omitempty" msgpack:"c,omitempty"` // The current value that the change conflicts with.
	At       time.Time  `json:"at" msgpack:"t"`
}

// Snapshot is the complete tree of settings at one revision.
type Snapshot struct {
	Revision Revision  `json:"revision" msgpack:"r"`
	Settings []Setting `json:"settings" msgpack:"s"`
}
