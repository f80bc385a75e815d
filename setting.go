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

// ChangeResult is the fleet's first and only answer to a change.
type ChangeResult struct {
	Accepted bool      `json:"accepted" msgpack:"a"`
	Revision Revision  `json:"revision" msgpack:"r"` // Of the change, or the present one when refused.
	Problem  string    `json:"problem,omitempty" msgpack:"p,omitempty"`
	Conflict *Setting  `json:"conflict,omitempty" msgpack:"c,omitempty"` // The current value that beat the change.
	At       time.Time `json:"at" msgpack:"t"`
}

// Snapshot is the whole tree of settings at one revision.
type Snapshot struct {
	Revision Revision  `json:"revision" msgpack:"r"`
	Settings []Setting `json:"settings" msgpack:"s"`
}
