package cleat

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"

	"github.com/gravitational/trace"
)

// Defaults and limits of a workspace.
const (
	DefaultShare         = 1.0
	DefaultMaxWaiting    = 1000
	MaxShare             = 1e6
	MinShare             = 1e-3
	MaxWaitingUpperBound = 100000
)

// Workspace is a tenant of the fleet, stored at /teams/<team>/workspaces/<name>;
// its share is stored separately at /fleet/shares/<team>/<name>, which teams can't write.
type Workspace struct {
	ID         WorkspaceID `json:"-"`
	Share      float64     `json:"-"`
	KeyHashes  []string    `json:"key_hashes"`  // SHA-256 of each workspace key, in hex.
	MaxWaiting int         `json:"max_waiting"` // Requests waiting at one entry.
	Classes    []ClassName `json:"classes"`     // Highest precedence first; classes not listed follow.
}

// Defaults sets the fields that the operator left out.
func (w *Workspace) Defaults() {
	SetDefault(&w.Share, DefaultShare)
	SetDefault(&w.MaxWaiting, DefaultMaxWaiting)
}

// Validate returns a trace.BadParameter error that names the first invalid field.
func (w *Workspace) Validate() error {
	if w.Share < MinShare || w.Share > MaxShare {
		return trace.BadParameter("Workspace.Validate: share must be between %v and %v, not %v", MinShare, MaxShare, w.Share)
	}
	if w.MaxWaiting < 1 || w.MaxWaiting > MaxWaitingUpperBound {
		return trace.BadParameter("Workspace.Validate: max_waiting must be between 1 and %d, not %d", MaxWaitingUpperBound, w.MaxWaiting)
	}
	for _, h := range w.KeyHashes {
		if b, err := hex.DecodeString(h); err != nil || len(b) != sha256.Size {
			return trace.BadParameter("Workspace.Validate: key_hashes: %q is not a SHA-256 in hex", h)
		}
	}
	return nil
}

// Rank returns the precedence of class c inside the workspace: its position in
// Classes, or, for a class not listed there, after all listed ones by the class's
// fleet-wide rank.
func (w *Workspace) Rank(c Class) int {
	for i, name := range w.Classes {
		if name == c.Name {
			return i
		}
	}
	return len(w.Classes) + c.Rank
}

// HashKey returns the hash of a workspace key, in the form that settings store.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Workspaces is the set of workspaces in force.
type Workspaces struct {
	byID  map[WorkspaceID]Workspace
	byKey map[string]WorkspaceID
}

// NewWorkspaces indexes a list of workspaces by id and key hash.
func NewWorkspaces(list []Workspace) Workspaces {
	ws := Workspaces{byID: make(map[WorkspaceID]Workspace, len(list)), byKey: make(map[string]WorkspaceID, len(list))}
	for _, w := range list {
		ws.byID[w.ID] = w
		for _, h := range w.KeyHashes {
			ws.byKey[h] = w.ID
		}
	}
	return ws
}

// ByID returns the workspace named id.
func (ws Workspaces) ByID(id WorkspaceID) (Workspace, bool) {
	w, ok := ws.byID[id]
	return w, ok
}

// ByKey returns the workspace that owns a key, given in plain text.
func (ws Workspaces) ByKey(key string) (Workspace, bool) {
	id, ok := ws.byKey[HashKey(key)]
	if !ok {
		return Workspace{}, false
	}
	return ws.ByID(id)
}

// List returns all workspaces, sorted by id.
func (ws Workspaces) List() []Workspace {
	list := make([]Workspace, 0, len(ws.byID))
	for _, w := range ws.byID {
		list = append(list, w)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
