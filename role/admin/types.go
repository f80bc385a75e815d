package admin

import (
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/state/config"
)

// Paths of the API.
const (
	PathSetting   = "/v1/setting"
	PathSettings  = "/v1/settings"
	PathChanges   = "/v1/changes"
	PathHistory   = "/v1/history"
	PathWatch     = "/v1/watch"
	PathStatus    = "/v1/status"
	PathWorkspace = "/v1/status/workspace"
	PathTokens    = "/v1/tokens"
	PathExport    = "/v1/export"
	PathControl   = "/v1/ctrl"
	PathReplicas  = "/v1/ctrl/replicas"
	PathSnapshot  = "/v1/ctrl/snapshot"
	PathState     = "/v1/ctrl/state"

	PathEvacuations = "/v1/evacuations"
)

// Code is the machine-readable reason of a failed call.
type Code string

// The codes of failed calls; refused changes carry a cleat.ChangeCode too.
const (
	CodeUnauthorised   Code = "unauthorised"
	CodeForbidden      Code = "forbidden"
	CodeInvalid        Code = "invalid"
	CodeNotFound       Code = "not_found"
	CodeRefused        Code = "refused"      // The change was refused; its result has the reason.
	CodeNotAccepted    Code = "not_accepted" // Nothing was changed, for lack of a quorum; retry.
	CodeOutcomeUnknown Code = "fate_unknown" // The outcome is unknown; resend the change with its operation id.
)

// Problem is the response body of a failed call.
type Problem struct {
	Code    Code                `json:"code"`
	Message string              `json:"message"`
	Result  *cleat.ChangeResult `json:"result,omitempty"`
}

// Settings is the response to a listing of settings.
type Settings struct {
	Revision cleat.Revision  `json:"revision"`
	Settings []cleat.Setting `json:"settings"`
}

// Watch holds the settings changed between two revisions.
type Watch struct {
	From     cleat.Revision  `json:"from"`
	To       cleat.Revision  `json:"to"`
	Complete bool            `json:"whole"` // Written holds all settings of the subtree, because the changes alone are not available.
	Written  []cleat.Setting `json:"written"`
	Deleted  []string        `json:"deleted"`
}

// History lists accepted changes, newest first.
type History struct {
	Entries []config.HistoryEntry `json:"entries"`
}

// Tokens lists tokens without their secrets.
type Tokens struct {
	Tokens []config.Token `json:"tokens"`
}

// TokenChange creates or revokes a token. Only the hash of the secret is sent.
type TokenChange struct {
	Operation string        `json:"operation"`
	Create    *config.Token `json:"create,omitempty"`
	Hash      string        `json:"hash,omitempty"` // SHA-256 of the new secret, in hex.
	Revoke    string        `json:"revoke,omitempty"`
}

// FleetStatus is the state of the fleet.
type FleetStatus struct {
	Revision     cleat.Revision     `json:"revision"`
	Leader       cleat.InstanceID   `json:"leader"`
	Unreachable  []cleat.InstanceID `json:"unreachable,omitempty"` // Control instances that did not answer; their nodes are missing from Nodes.
	Nodes        []Node             `json:"nodes"`
	LaggingNodes int                `json:"laggards"` // Nodes with an older settings revision.
	Orders       []cleat.Order      `json:"orders,omitempty"`
	Violations   uint64             `json:"violations"` // Invariant violations in this control instance.
	Evacuations  []cleat.Evacuation `json:"evacuations,omitempty"`
}

// EvacuationOrder orders the evacuation of a failure domain or withdraws the order.
type EvacuationOrder struct {
	Domain   cleat.DomainID `json:"domain"`
	Evacuate bool           `json:"evacuate"`
}

// Node is an instance that has registered.
type Node struct {
	Instance              cleat.InstanceID       `json:"instance"`
	Incarnation           cleat.Incarnation      `json:"incarnation"`
	Role                  cleat.Role             `json:"role"`
	Domain                cleat.DomainID         `json:"domain"`
	Address               string                 `json:"address"`
	Control               cleat.InstanceID       `json:"control"` // Control instance that it registers with.
	Revision              cleat.Revision         `json:"revision"`
	Lagging               bool                   `json:"lags"`
	Suspected             bool                   `json:"suspected"`
	Leaving               bool                   `json:"leaving"`
	SinceHeartbeatSeconds float64                `json:"silent_s"`
	Upstreams             []cleat.HostedUpstream `json:"upstreams,omitempty"`
}

// WorkspaceStatus is the state of one workspace over the whole fleet.
type WorkspaceStatus struct {
	Workspace cleat.WorkspaceID       `json:"workspace"`
	Share     float64                 `json:"share"`
	Service   float64                 `json:"service"` // Cost units received, divided by the share.
	Gap       float64                 `json:"gap"`     // Deficit to the best served backlogged workspace, in the same unit.
	Waiting   uint64                  `json:"waiting"`
	Running   uint64                  `json:"running"`
	Served    uint64                  `json:"served"`
	Refused   map[cleat.Reason]uint64 `json:"refused"`
	Reporting int                     `json:"reporting"` // Instances included in the counts.
}

// Replica is a member of the replicated log, or a candidate for membership.
type Replica struct {
	Instance            cleat.InstanceID `json:"instance"`
	Replica             string           `json:"replica"`
	Learner             bool             `json:"learner"`
	Match               uint64           `json:"match,omitempty"`   // Last log index synced; reported by the leader only.
	SinceContactSeconds float64          `json:"quiet_s,omitempty"` // Since the leader last received a message from it.
}

// ControlStatus is the state of the replicated log as reported by one control instance.
type ControlStatus struct {
	Instance   cleat.InstanceID `json:"instance"`
	Role       string           `json:"duty"`
	Term       uint64           `json:"term"`
	Leader     cleat.InstanceID `json:"leader"`
	Commit     uint64           `json:"commit"`
	Applied    uint64           `json:"applied"`
	Snapshot   uint64           `json:"snapshot"`
	Lease      bool             `json:"lease"`
	DiskError  string           `json:"disk_error,omitempty"`
	Replicas   []Replica        `json:"replicas"`
	Candidates []Replica        `json:"candidates"` // Instances that announced themselves but are not members.
	Claims     int              `json:"claims"`
	Settings   cleat.Revision   `json:"settings"`
	At         time.Time        `json:"at"`
}

// ReplicaChange changes the members of the replicated log.
type ReplicaChange struct {
	Action   cleat.ReplicaAction `json:"action"`
	Instance cleat.InstanceID    `json:"instance"`
}

// State is the local state of one control instance: settings, tokens (as hashes)
// and claims. It may lack the most recently accepted changes.
type State struct {
	Instance cleat.InstanceID `json:"instance"`
	Applied  uint64           `json:"applied"`
	Settings cleat.Revision   `json:"settings"`
	State    []byte           `json:"state"`
}
