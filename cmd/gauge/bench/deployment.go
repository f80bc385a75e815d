package bench

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// classMix is one class of a deployment's requests and the distribution of its sizes.
type classMix struct {
	name         cleat.ClassName
	rank         int
	kind         cleat.UpstreamKind
	fraction     float64 // Fraction of a workspace's requests.
	inputMedian  float64 // Tokens.
	outputMedian float64 // Tokens.
	sigma        float64 // Of the log-normal distribution of sizes.
	busyMedian   time.Duration
	deadline     time.Duration
	repeatable   bool
}

// Deployment is the size and shape of a fleet.
type Deployment struct {
	name            string
	domains         int
	regions         int
	domainDelay     time.Duration // One way, between failure domains of a region.
	regionDelay     time.Duration // One way, between regions.
	entries         int
	agents          int // With model servers.
	enginesPerAgent int // Model servers of each agent.
	plainAgents     int
	controls        int
	slots           int // Largest batch at which a model server meets its latency target.
	plainSlots      int
	models          int
	workspaces      int
	largeWorkspaces int // Workspaces with a larger share.
	classes         []classMix
}

const intraDomainDelay = 100 * time.Microsecond

// DeploymentByName returns the deployment of this name, or a trace.NotFound error.
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
		name: "pastor-andino", domains: 3, regions: 1, domainDelay: 500 * time.Microsecond,
		entries: 3, agents: 12, enginesPerAgent: 1, plainAgents: 3, controls: 3, slots: 16, plainSlots: 32, models: 1, workspaces: 16, largeWorkspaces: 3,
		classes: []classMix{
			{name: "draft", rank: 0, kind: cleat.KindModel, fraction: 0.25, inputMedian: 1200, outputMedian: 500, sigma: 0.7, deadline: 30 * time.Minute, repeatable: true},
			{name: "query", rank: 1, kind: cleat.KindModel, fraction: 0.45, inputMedian: 300, outputMedian: 120, sigma: 0.7, deadline: 5 * time.Minute, repeatable: true},
			{name: "names", rank: 2, kind: cleat.KindModel, fraction: 0.2, inputMedian: 150, outputMedian: 40, sigma: 0.5, deadline: 5 * time.Minute, repeatable: true},
			{name: "order", rank: 0, kind: cleat.KindPlain, fraction: 0.1, busyMedian: 20 * time.Millisecond, sigma: 0.5, deadline: time.Minute},
		},
	}
}

func lade() Deployment {
	return Deployment{
		name: "lade", domains: 4, regions: 1, domainDelay: 1500 * time.Microsecond,
		entries: 4, agents: 9, enginesPerAgent: 1, plainAgents: 4, controls: 3, slots: 16, plainSlots: 32, models: 1, workspaces: 16, largeWorkspaces: 3,
		classes: []classMix{
			{name: "bidder", rank: 0, kind: cleat.KindModel, fraction: 0.3, inputMedian: 250, outputMedian: 60, sigma: 0.5, deadline: time.Minute, repeatable: true},
			{name: "chat", rank: 1, kind: cleat.KindModel, fraction: 0.3, inputMedian: 500, outputMedian: 200, sigma: 0.7, deadline: 5 * time.Minute, repeatable: true},
			{name: "tag", rank: 2, kind: cleat.KindModel, fraction: 0.15, inputMedian: 200, outputMedian: 30, sigma: 0.4, deadline: 10 * time.Minute, repeatable: true},
			{name: "dossier", rank: 3, kind: cleat.KindModel, fraction: 0.15, inputMedian: 2000, outputMedian: 600, sigma: 0.7, deadline: 30 * time.Minute, repeatable: true},
			{name: "settle", rank: 0, kind: cleat.KindPlain, fraction: 0.1, busyMedian: 20 * time.Millisecond, sigma: 0.5, deadline: time.Minute},
		},
	}
}

// fifth is about a fifth of the size of plan: 75 nodes, of which 9 are entries, 61
// agents and 5 control instances.
func fifth() Deployment {
	d := plan()
	d.name = "fifth"
	d.entries, d.agents, d.plainAgents, d.controls = 9, 57, 4, 5
	d.models, d.workspaces, d.largeWorkspaces = 6, 560, 10
	return d
}

// plan is the size that the fleet is designed for: 350 nodes, of which 43 are entries, 300
// agents and 7 control instances. The 280 agents beside model servers have two each.
func plan() Deployment {
	d := pastorAndino()
	d.name = "plan"
	d.domains, d.regions, d.regionDelay = 7, 2, 20*time.Millisecond
	d.entries, d.agents, d.enginesPerAgent, d.plainAgents, d.controls = 43, 280, 2, 20, 7
	d.slots, d.models, d.workspaces, d.largeWorkspaces = 20, 28, 2800, 50
	return d
}

// model returns the model that model server n serves.
func (d *Deployment) model(n int) cleat.ModelID {
	return cleat.ModelID(fmt.Sprintf("model-%d", n%d.models))
}

// plainPool stands in place of a model in plain requests and plain services, which form
// one pool.
const plainPool cleat.ModelID = "desk"

// share returns the share of workspace n; the first largeWorkspaces have more.
func (d *Deployment) share(n int) float64 {
	if n < d.largeWorkspaces {
		return 4
	}
	return 1
}

// flooder returns the workspace of a flood: the last one, which has a normal share.
func (d *Deployment) flooder() int { return d.workspaces - 1 }

func (d *Deployment) workspace(n int) cleat.WorkspaceID {
	return cleat.WorkspaceID(fmt.Sprintf("team%d/ws%d", n%8, n))
}

// settings returns the deployment's settings as the policy code expects them.
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

// domain assigns the instances of a role to the failure domains in turn.
func (d *Deployment) domain(n int) int { return n % d.domains }

// delay returns the one-way delay between two failure domains.
func (d *Deployment) delay(a, b int) time.Duration {
	switch {
	case a == b:
		return intraDomainDelay
	case d.regions > 1 && a%d.regions != b%d.regions:
		return d.regionDelay
	default:
		return d.domainDelay
	}
}

// tokensPerSecond returns the output token rate of all model servers at full
// batches within their latency target.
func (d *Deployment) tokensPerSecond() float64 {
	return float64(d.agents*d.enginesPerAgent*d.slots) / fullBatchTokenInterval.Seconds()
}
