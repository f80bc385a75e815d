package bench

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// classMix is one class of a deployment's requests and how its sizes spread.
type classMix struct {
	name       cleat.ClassName
	rank       int
	kind       cleat.UpstreamKind
	part       float64 // Of a workspace's requests.
	inputMid   float64 // Median input tokens.
	outputMid  float64 // Median output tokens.
	spread     float64 // Sigma of the log-normal sizes.
	busyMid    time.Duration
	deadline   time.Duration
	repeatable bool
}

// Deployment is the size and shape of a fleet.
type Deployment struct {
	name         string
	domains      int
	regions      int
	oneWay       time.Duration // Between failure domains of one region.
	betweenAreas time.Duration // Between regions.
	entries      int
	agents       int // Beside model servers.
	perAgent     int // Model servers of each agent.
	plains       int
	controls     int
	slots        int // Largest batch of a model server inside its latency target.
	plainSlots   int
	models       int
	workspaces   int
	large        int // Workspaces with a larger share.
	classes      []classMix
}

const intraDomainDelay = 100 * time.Microsecond

// DeploymentByName returns the deployment, or a trace.NotFound error.
func DeploymentByName(name string) (Deployment, error) {
	for _, d := range []Deployment{pastorAndino(), lade(), fifth(), plan()} {
		if d.name == name {
			return d, nil
		}
	}
	return Deployment{}, trace.NotFound("DeploymentByName: no deployment %q (pastor-andino, lade, fifth, plan)", name)
}

func pastorAndino() Deployment {
	return Deployment{
		name: "pastor-andino", domains: 3, regions: 1, oneWay: 500 * time.Microsecond,
		entries: 3, agents: 12, perAgent: 1, plains: 3, controls: 3, slots: 16, plainSlots: 32, models: 1, workspaces: 16, large: 3,
		classes: []classMix{
			{name: "draft", rank: 0, kind: cleat.KindModel, part: 0.25, inputMid: 1200, outputMid: 500, spread: 0.7, deadline: 30 * time.Minute, repeatable: true},
			{name: "query", rank: 1, kind: cleat.KindModel, part: 0.45, inputMid: 300, outputMid: 120, spread: 0.7, deadline: 5 * time.Minute, repeatable: true},
			{name: "names", rank: 2, kind: cleat.KindModel, part: 0.2, inputMid: 150, outputMid: 40, spread: 0.5, deadline: 5 * time.Minute, repeatable: true},
			{name: "order", rank: 0, kind: cleat.KindPlain, part: 0.1, busyMid: 20 * time.Millisecond, spread: 0.5, deadline: time.Minute},
		},
	}
}

func lade() Deployment {
	return Deployment{
		name: "lade", domains: 4, regions: 1, oneWay: 1500 * time.Microsecond,
		entries: 4, agents: 9, perAgent: 1, plains: 4, controls: 3, slots: 16, plainSlots: 32, models: 1, workspaces: 16, large: 3,
		classes: []classMix{
			{name: "bidder", rank: 0, kind: cleat.KindModel, part: 0.3, inputMid: 250, outputMid: 60, spread: 0.5, deadline: time.Minute, repeatable: true},
			{name: "chat", rank: 1, kind: cleat.KindModel, part: 0.3, inputMid: 500, outputMid: 200, spread: 0.7, deadline: 5 * time.Minute, repeatable: true},
			{name: "tag", rank: 2, kind: cleat.KindModel, part: 0.15, inputMid: 200, outputMid: 30, spread: 0.4, deadline: 10 * time.Minute, repeatable: true},
			{name: "dossier", rank: 3, kind: cleat.KindModel, part: 0.15, inputMid: 2000, outputMid: 600, spread: 0.7, deadline: 30 * time.Minute, repeatable: true},
			{name: "settle", rank: 0, kind: cleat.KindPlain, part: 0.1, busyMid: 20 * time.Millisecond, spread: 0.5, deadline: time.Minute},
		},
	}
}

// fifth is a fifth of the plan: 75 nodes, of which 9 entries, 61 agents and 5
// control instances.
func fifth() Deployment {
	d := plan()
	d.name = "fifth"
	d.entries, d.agents, d.plains, d.controls = 9, 57, 4, 5
	d.models, d.workspaces, d.large = 6, 560, 10
	return d
}

// plan is the size to design for: 350 nodes, of which 43 entries, 300 agents
// with two servers each and 7 control instances.
func plan() Deployment {
	d := pastorAndino()
	d.name = "plan"
	d.domains, d.regions, d.betweenAreas = 7, 2, 20*time.Millisecond
	d.entries, d.agents, d.perAgent, d.plains, d.controls = 43, 280, 2, 20, 7
	d.slots, d.models, d.workspaces, d.large = 20, 28, 2800, 50
	return d
}

// model returns the model that server n of the deployment holds.
func (d *Deployment) model(n int) cleat.ModelID {
	return cleat.ModelID(fmt.Sprintf("model-%d", n%d.models))
}

const plainPool cleat.ModelID = "desk"

// share returns the share of workspace n: a few are large.
func (d *Deployment) share(n int) float64 {
	if n < d.large {
		return 4
	}
	return 1
}

// flooder returns the workspace that floods: the last one, which is never large.
func (d *Deployment) flooder() int { return d.workspaces - 1 }

func (d *Deployment) workspace(n int) cleat.WorkspaceID {
	return cleat.WorkspaceID(fmt.Sprintf("team%d/ws%d", n%8, n))
}

// settings returns the deployment's settings as the deciding code takes them.
func (d *Deployment) settings() *cleat.Fleet {
	list := make([]cleat.Workspace, 0, d.workspaces)
	for n := range d.workspaces {
		w := cleat.Workspace{ID: d.workspace(n), Share: d.share(n), MaxWaiting: cleat.MaxWaitingUpperBound}
		w.Defaults()
		list = append(list, w)
	}
	classes := make(map[cleat.ClassName]cleat.Class, len(d.classes))
	for _, c := range d.classes {
		classes[c.name] = cleat.Class{Name: c.name, Rank: c.rank, Deadline: cleat.Seconds(c.deadline.Seconds())}
	}
	limits := cleat.Limits{MaxWaiting: cleat.MaxWaitingUpperBound}
	limits.Defaults()
	return cleat.NewFleet(1, cleat.NewWorkspaces(list), cleat.NewRules(nil), classes, limits)
}

// domain spreads the instances of a role evenly over the failure domains.
func (d *Deployment) domain(n int) int { return n % d.domains }

// delay returns the one-way delay between two failure domains.
func (d *Deployment) delay(a, b int) time.Duration {
	switch {
	case a == b:
		return intraDomainDelay
	case d.regions > 1 && a%d.regions != b%d.regions:
		return d.betweenAreas
	default:
		return d.oneWay
	}
}

// tokensPerSecond is the most that the deployment's model servers generate
// inside their latency target.
func (d *Deployment) tokensPerSecond() float64 {
	return float64(d.agents*d.perAgent*d.slots) / tokenTarget.Seconds()
}
