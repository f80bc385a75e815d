package config

import (
	"strings"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// Kind is the kind of document at a path.
type Kind string

// The kinds of settings.
const (
	KindWorkspace   Kind = "workspace"
	KindShare       Kind = "share"
	KindRule        Kind = "rule"
	KindClass       Kind = "class"
	KindLimits      Kind = "limits"
	KindPlacement   Kind = "placement"
	KindWeightStore Kind = "weight_store"
	KindUpstream    Kind = "upstream"
)

// MaxNameBytes bounds each name inside a path.
const MaxNameBytes = 63

// Path is a parsed setting path.
type Path struct {
	kind Kind
	team string
	name string
}

// Kind returns the kind of the path's document.
func (p Path) Kind() Kind { return p.kind }

// Team returns the team in the path, empty for fleet-wide settings.
func (p Path) Team() string { return p.team }

// Name returns the last name in the path, empty for the limits and the weight store.
func (p Path) Name() string { return p.name }

// Workspace returns the workspace that a workspace or share path belongs to.
func (p Path) Workspace() cleat.WorkspaceID {
	return cleat.WorkspaceID(p.team + "/" + p.name)
}

// ParsePath returns the parsed path, or a trace.BadParameter error when no kind of
// setting has such a path.
func ParsePath(path string) (Path, error) {
	if !strings.HasPrefix(path, "/") {
		return Path{}, trace.BadParameter("ParsePath: path %q must start with /", path)
	}
	parts := strings.Split(path[1:], "/")
	for _, part := range parts {
		if err := checkName(part); err != nil {
			return Path{}, trace.Wrap(err, "ParsePath: path %q", path)
		}
	}
	p, ok := matchPath(parts)
	if !ok {
		return Path{}, trace.BadParameter("ParsePath: no setting has the path %q", path)
	}
	return p, nil
}

func matchPath(parts []string) (Path, bool) {
	switch {
	case len(parts) == 4 && parts[0] == "teams" && parts[2] == "workspaces":
		return Path{kind: KindWorkspace, team: parts[1], name: parts[3]}, true
	case len(parts) == 4 && parts[0] == "teams" && parts[2] == "rules":
		return Path{kind: KindRule, team: parts[1], name: parts[3]}, true
	case len(parts) == 4 && parts[0] == "fleet" && parts[1] == "shares":
		return Path{kind: KindShare, team: parts[2], name: parts[3]}, true
	case len(parts) == 3 && parts[0] == "fleet":
		return matchFleetPath(parts[1], parts[2])
	case len(parts) == 2 && parts[0] == "fleet" && parts[1] == "limits":
		return Path{kind: KindLimits}, true
	case len(parts) == 2 && parts[0] == "fleet" && parts[1] == "weight_store":
		return Path{kind: KindWeightStore}, true
	}
	return Path{}, false
}

func matchFleetPath(folder, name string) (Path, bool) {
	switch folder {
	case "rules":
		return Path{kind: KindRule, name: name}, true
	case "classes":
		return Path{kind: KindClass, name: name}, true
	case "upstreams":
		return Path{kind: KindUpstream, name: name}, true
	case "placement":
		return Path{kind: KindPlacement, name: name}, true
	}
	return Path{}, false
}

func checkName(name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return trace.BadParameter("each name must have 1 to %d bytes", MaxNameBytes)
	}
	for i, c := range name {
		if !isNameRune(c, i == 0) {
			return trace.BadParameter("name %q may hold letters, digits and ._:- and must start with a letter or digit", name)
		}
	}
	return nil
}

func isNameRune(c rune, first bool) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return !first && strings.ContainsRune("._:-", c)
}

// InSubtree reports whether path lies in the subtree, which is "/" or a path
// without a trailing slash.
func InSubtree(path, subtree string) bool {
	return subtree == "/" || path == subtree || strings.HasPrefix(path, subtree+"/")
}
