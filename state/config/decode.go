package config

import (
	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// Decode returns the settings of a snapshot in the form that nodes serve from.
func Decode(s cleat.Snapshot) (*cleat.Fleet, error) {
	d := decoder{
		shares:  make(map[cleat.WorkspaceID]float64),
		classes: make(map[cleat.ClassName]cleat.Class),
	}
	d.limits.Defaults()
	for _, setting := range s.Settings {
		if err := d.add(setting); err != nil {
			return nil, trace.BadParameter("Decode: %s: %v", setting.Path, err)
		}
	}
	for i := range d.workspaces {
		d.applyShare(&d.workspaces[i])
	}
	return cleat.NewFleet(s.Revision, cleat.NewWorkspaces(d.workspaces), cleat.NewRules(d.rules), d.classes, d.limits), nil
}

type decoder struct {
	workspaces []cleat.Workspace
	shares     map[cleat.WorkspaceID]float64
	rules      []cleat.Rule
	classes    map[cleat.ClassName]cleat.Class
	limits     cleat.Limits
}

func (d *decoder) add(s cleat.Setting) error {
	p, err := ParsePath(s.Path)
	if err != nil {
		return err
	}
	doc := newDocument(p.kind)
	if err := decodeDocument(doc, s.Value, false); err != nil {
		return err
	}
	switch v := doc.(type) {
	case *cleat.Workspace:
		v.ID = p.Workspace()
		d.workspaces = append(d.workspaces, *v)
	case *Share:
		d.shares[p.Workspace()] = v.Share
	case *cleat.Rule:
		v.Name, v.Team = p.name, p.team
		d.rules = append(d.rules, *v)
	case *cleat.Class:
		v.Name = cleat.ClassName(p.name)
		d.classes[v.Name] = *v
	case *cleat.Limits:
		d.limits = *v
	}
	return nil
}

func (d *decoder) applyShare(w *cleat.Workspace) {
	if share, ok := d.shares[w.ID]; ok {
		w.Share = share
	}
}
