package cleat

import (
	"encoding/json"
	"time"
)

// Register announces an instance to a control instance and is its heartbeat.
type Register struct {
	Peer     Peer              `msgpack:"p"`
	Revision Revision          `msgpack:"r"` // Settings revision in force at the instance.
	Leaving  bool              `msgpack:"l,omitempty"`
	Models   []ModelID         `msgpack:"m,omitempty"` // Served by an agent's upstreams.
	Status   []WorkspaceStatus `msgpack:"s,omitempty"`

	Manifest uint64 `msgpack:"v,omitempty"` // Version of the manifest in force at the instance.

	Upstreams []HostedUpstream `msgpack:"u,omitempty"` // Of an agent, for placement and orders.
	Demand    []ModelDemand    `msgpack:"d,omitempty"` // Of an entry, for placement.
}

// ReplicaAction names a change of the replicated log's members.
type ReplicaAction string

// The changes of the replicated log's members.
const (
	ReplicaAdd     ReplicaAction = "add"     // Adds the instance's new replica, first without a vote.
	ReplicaRemove  ReplicaAction = "remove"  // Removes all replicas of the instance.
	ReplicaReplace ReplicaAction = "replace" // Puts the instance's new replica in place of its lost one.
)

// ReplicaChange asks the leader to change the replicated log's members.
type ReplicaChange struct {
	Call     uint64        `msgpack:"n"` // Matches the result to the call.
	Action   ReplicaAction `msgpack:"a"`
	Instance InstanceID    `msgpack:"i"`
}

// ReplicaChanged answers a ReplicaChange.
type ReplicaChanged struct {
	Call    uint64 `msgpack:"n"`
	Problem string `msgpack:"p,omitempty"` // Empty when the change is committed.
	Unknown bool   `msgpack:"u,omitempty"` // The change may still be committed.
}

// HostedUpstream is one of an agent's upstreams as its registration names it.
type HostedUpstream struct {
	Upstream UpstreamID   `msgpack:"u"`
	Kind     UpstreamKind `msgpack:"k"`
	Models   []ModelID    `msgpack:"m"`
	CanLoad  bool         `msgpack:"c,omitempty"` // It takes orders to load.
	Leaving  bool         `msgpack:"l,omitempty"`
}

// ModelDemand is how much work for a model one entry holds.
type ModelDemand struct {
	Model   ModelID `msgpack:"m"`
	Waiting uint32  `msgpack:"w"`
	Running uint32  `msgpack:"r"`
}

// StatusRead asks another control instance for the nodes registered with it.
type StatusRead struct {
	Call      uint64      `msgpack:"n"`           // Matches the report to the call.
	Workspace WorkspaceID `msgpack:"w,omitempty"` // Whose numbers are wanted, with those of backlogged ones; empty for none.
}

// StatusReport answers a StatusRead.
type StatusReport struct {
	Call  uint64       `msgpack:"n"`
	Nodes []NodeStatus `msgpack:"s"`
}

// NodeStatus is what a control instance last heard from a node.
type NodeStatus struct {
	Register  Register      `msgpack:"r"`
	Suspected bool          `msgpack:"x,omitempty"`
	Silent    time.Duration `msgpack:"t"` // Since its last heartbeat.
}

// WorkspaceStatus is what one instance knows of a workspace for operators.
type WorkspaceStatus struct {
	Workspace WorkspaceID       `json:"workspace" msgpack:"w"`
	Waiting   uint32            `json:"waiting" msgpack:"n"`
	Running   uint32            `json:"running" msgpack:"r"`
	Served    uint64            `json:"served" msgpack:"d"`
	Service   float64           `json:"service" msgpack:"s"`
	Refused   map[Reason]uint64 `json:"refused,omitempty" msgpack:"x,omitempty"`
}

// Member is one live instance as control sees it.
type Member struct {
	Peer      Peer      `msgpack:"p"`
	Models    []ModelID `msgpack:"m,omitempty"`
	Suspected bool      `msgpack:"s,omitempty"`
	Leaving   bool      `msgpack:"l,omitempty"`
}

// Members replaces or amends an instance's view of the fleet.
type Members struct {
	Relay   InstanceID   `msgpack:"c"`
	Seq     uint64       `msgpack:"q"`
	Whole   bool         `msgpack:"w,omitempty"` // Members not named are gone.
	Members []Member     `msgpack:"m"`
	Gone    []InstanceID `msgpack:"g,omitempty"`
}

// SettingsRead asks for the settings after a revision, confirmed by a quorum
// when Confirm is set.
type SettingsRead struct {
	After   Revision `msgpack:"a"`
	Confirm bool     `msgpack:"c,omitempty"`
}

// Settings carries settings to a node: a delta from revision From, or the
// whole tree when Whole is set.
type Settings struct {
	From      Revision  `msgpack:"f"`
	To        Revision  `msgpack:"t"`
	Whole     bool      `msgpack:"w,omitempty"`
	Confirmed bool      `msgpack:"c,omitempty"` // Read through a quorum.
	More      bool      `msgpack:"m,omitempty"` // Further pieces follow on the same link.
	Written   []Setting `msgpack:"s,omitempty"`
	Deleted   []string  `msgpack:"d,omitempty"`
}

// ClaimState tells where a claim on an idempotency key stands.
type ClaimState string

// The states of a claim.
const (
	ClaimGranted  ClaimState = "granted"  // The caller of Claim holds it and may dispatch once.
	ClaimRunning  ClaimState = "running"  // Another request holds it and may still run.
	ClaimInDoubt  ClaimState = "in_doubt" // Its holder was lost; it may have run and never runs again.
	ClaimDone     ClaimState = "done"     // It ran; the outcome is recorded.
	ClaimNoQuorum ClaimState = "no_quorum"
)

// Claim asks for the durable claim on (workspace, key) before dispatch.
type Claim struct {
	Call      uint64      `msgpack:"n"` // Matches the result to the call.
	Workspace WorkspaceID `msgpack:"w"`
	Key       string      `msgpack:"k"`
	Request   RequestID   `msgpack:"r"`
	Digest    []byte      `msgpack:"d"` // Of the request's bytes; another digest under the key is refused.
}

// ClaimResult answers a Claim or a ClaimOutcome.
type ClaimResult struct {
	Call     uint64         `msgpack:"n"`
	State    ClaimState     `msgpack:"s"`
	Mismatch bool           `msgpack:"m,omitempty"` // The key was used with other bytes.
	Answer   RecordedAnswer `msgpack:"a"`
}

// RecordedAnswer is the stored answer of a claimed request.
type RecordedAnswer struct {
	Status int           `msgpack:"s"`
	Header []HeaderField `msgpack:"h,omitempty"`
	Body   []byte        `msgpack:"b,omitempty"`
	Cut    bool          `msgpack:"c,omitempty"` // The body exceeded the stated bound and is not kept.
}

// ClaimOutcome records how a claimed request ended.
type ClaimOutcome struct {
	Call      uint64         `msgpack:"n"`
	Workspace WorkspaceID    `msgpack:"w"`
	Key       string         `msgpack:"k"`
	Request   RequestID      `msgpack:"r"`
	Outcome   OutcomeKind    `msgpack:"o"` // not_run frees the key; done records; all else leaves it in doubt.
	Answer    RecordedAnswer `msgpack:"a"`
}

// OrderKind names what an order makes an upstream do.
type OrderKind string

// The kinds of orders to upstreams.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderLoadVersion OrderKind = "load_version"
	OrderChangeRole  OrderKind = "change_role"
)

// Order makes an upstream load a model, an adapter or a version, or change its role.
type Order struct {
	ID       uint64          `json:"id" msgpack:"n"`
	Fence    Fence           `json:"fence" msgpack:"f"`
	Upstream UpstreamID      `json:"upstream" msgpack:"u"`
	Order    OrderKind       `json:"kind" msgpack:"k"`
	Model    ModelID         `json:"model,omitempty" msgpack:"m,omitempty"`
	Detail   json.RawMessage `json:"detail,omitempty" msgpack:"d,omitempty"`
}

// OrderResult tells control how an order ended at the agent.
type OrderResult struct {
	ID      uint64 `msgpack:"n"`
	Fence   Fence  `msgpack:"f"`
	Done    bool   `msgpack:"d"`
	Problem string `msgpack:"p,omitempty"`
}

// PeerMessage carries one message of the replicated log between control instances.
type PeerMessage struct {
	Data []byte `msgpack:"d"`
}

// Ping keeps a link alive and finds silent cuts.
type Ping struct {
	Nonce uint64        `msgpack:"n"`
	Reply bool          `msgpack:"r,omitempty"`
	Sent  time.Duration `msgpack:"s,omitempty"`
}

// Hello opens a link in both directions.
type Hello struct {
	Version uint16 `msgpack:"v"`
	Fleet   string `msgpack:"f"`
	Peer    Peer   `msgpack:"p"`
	Nonce   []byte `msgpack:"n"`
	Proof   []byte `msgpack:"h,omitempty"` // HMAC of the other side's nonce under the fleet key.
}
