package cleat

import (
	"encoding/json"
	"time"
)

// Setting is one document in the tree of settings.
type Setting struct {
	Path     string          `json:"path" msgpack:"p"`
	Value    json.RawMessage `json:"value" msgpack:"v"`
	Revision Revision        `json:"revision" msgpack:"r"` // Of the change that wrote it.
}

// ChangeOp is one write inside a change; a nil value deletes the path.
type ChangeOp struct {
	Path     string          `json:"path" msgpack:"p"`
	Value    json.RawMessage `json:"value,omitempty" msgpack:"v,omitempty"`
	Expected *Revision       `json:"expected,omitempty" msgpack:"e,omitempty"` // Nil: any; zero: the path must not exist.
}

// Change is an atomic batch of writes to the settings.
type Change struct {
	Operation string     `json:"operation" msgpack:"o"` // Resent changes carry the same operation id.
	Author    string     `json:"author" msgpack:"a"`
	Ops       []ChangeOp `json:"ops" msgpack:"w"`
}

// ChangeCode tells programs why a change was refused.
type ChangeCode string

// The codes of refused changes.
const (
	ChangeConflict     ChangeCode = "conflict"         // Another change came first.
	ChangeInvalid      ChangeCode = "invalid"          // The change can't stand as it is.
	ChangeForbidden    ChangeCode = "forbidden"        // The token may not write there.
	ChangeUnauthorised ChangeCode = "unauthorised"     // The token is unknown.
	ChangeReused       ChangeCode = "operation_reused" // The operation id stands for another change.
)

// ChangeResult is the fleet's first and only answer to a change.
type ChangeResult struct {
	Accepted bool       `json:"accepted" msgpack:"a"`
	Revision Revision   `json:"revision" msgpack:"r"` // Of the change, or the present one when refused.
	Code     ChangeCode `json:"code,omitempty" msgpack:"k,omitempty"`
	Problem  string     `json:"problem,omitempty" msgpack:"p,omitempty"`
	Conflict *Setting   `json:"conflict,omitempty" msgpack:"c,omitempty"` // The current value that beat the change.
	At       time.Time  `json:"at" msgpack:"t"`
}

// Snapshot is the whole tree of settings at one revision.
type Snapshot struct {
	Revision Revision  `json:"revision" msgpack:"r"`
	Settings []Setting `json:"settings" msgpack:"s"`
}
