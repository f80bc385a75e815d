package cleat

import (
	"encoding/json"
	"time"
)

// Register registers an instance, then called a node, with a control instance; it is repeated as the heartbeat.
// Heartbeats may omit Status, Upstreams and Demand; the values sent earlier then stay in force.
// Leaving is set while the instance drains.
type Register struct {
	Peer     Peer              `msgpack:"p"`
	Revision Revision          `msgpack:"r"` // Settings revision in force at the instance.
	Leaving  bool              `msgpack:"l,omitempty"`
	Models   []ModelID         `msgpack:"m,omitempty"` // Served by an agent's upstreams; empty for other roles.
	Status   []WorkspaceStatus `msgpack:"s,omitempty"`

	ManifestVersion uint64 `msgpack:"v,omitempty"` // Version of the manifest in force at the instance.

	Upstreams []HostedUpstream `msgpack:"u,omitempty"` // Set by agents, for orders to their upstreams.
	Demand    []ModelDemand    `msgpack:"d,omitempty"` // Set by entries, for the placement of models on upstreams.
}

// ReplicaAction is a change to the membership of the replicated log.
type ReplicaAction string

// The membership changes of the replicated log.
const (
	ReplicaAdd     ReplicaAction = "add"     // Adds the instance's new replica, initially as a non-voting learner.
	ReplicaRemove  ReplicaAction = "remove"  // Removes all replicas of the instance.
	ReplicaReplace ReplicaAction = "replace" // Replaces the instance's lost replica by its new one.
	ReplicaLeave   ReplicaAction = "leave"   // Removes the replica of an instance that stops, if the other voters are enough.
)

// ReplicaChange asks the leader to change the membership of the replicated log.
type ReplicaChange struct {
	Call     uint64        `msgpack:"n"` // Matches the result to the call.
	Action   ReplicaAction `msgpack:"a"`
	Instance InstanceID    `msgpack:"i"`
}

// ReplicaChanged answers a ReplicaChange.
type ReplicaChanged struct {
	Call           uint64 `msgpack:"n"`
	Problem        string `msgpack:"p,omitempty"` // Empty when the change is committed.
	OutcomeUnknown bool   `msgpack:"u,omitempty"` // The change may still be committed.
}

// HostedUpstream describes one of an agent's upstreams in its registration.
type HostedUpstream struct {
	Upstream UpstreamID   `msgpack:"u"`
	Kind     UpstreamKind `msgpack:"k"`
	Models   []ModelID    `msgpack:"m"`
	CanLoad  bool         `msgpack:"c,omitempty"` // It accepts orders to load a model, adapter or version.
	Leaving  bool         `msgpack:"l,omitempty"`
}

// ModelDemand counts the requests for a model that one entry holds.
type ModelDemand struct {
	Model   ModelID `msgpack:"m"`
	Waiting uint32  `msgpack:"w"`
	Running uint32  `msgpack:"r"`
}

// StatusRead asks another control instance for the nodes registered with it.
type StatusRead struct {
	Call      uint64      `msgpack:"n"`           // Matches the report to the call.
	Workspace WorkspaceID `msgpack:"w,omitempty"` // Workspace to report on, besides the backlogged ones; empty for none.
}

// StatusReport answers a StatusRead.
type StatusReport struct {
	Call  uint64       `msgpack:"n"`
	Nodes []NodeStatus `msgpack:"s"`
}

// NodeStatus is a node's last registration at a control instance.
type NodeStatus struct {
	Register       Register      `msgpack:"r"`
	Suspected      bool          `msgpack:"x,omitempty"`
	SinceHeartbeat time.Duration `msgpack:"t"`
}

// WorkspaceStatus holds one instance's figures on a workspace, for operators.
type WorkspaceStatus struct {
	Workspace WorkspaceID       `json:"workspace" msgpack:"w"`
	Waiting   uint32            `json:"waiting" msgpack:"n"`
	Running   uint32            `json:"running" msgpack:"r"`
	Served    uint64            `json:"served" msgpack:"d"`
	Service   float64           `json:"service" msgpack:"s"` // In cost units per unit of share, including the estimated remaining service of running requests; set by agents.
	Refused   map[Reason]uint64 `json:"refused,omitempty" msgpack:"x,omitempty"`
}

// Member is a live instance in the membership view of control.
type Member struct {
	Peer      Peer      `msgpack:"p"`
	Models    []ModelID `msgpack:"m,omitempty"`
	Suspected bool      `msgpack:"s,omitempty"`
	Leaving   bool      `msgpack:"l,omitempty"`
}

// Members replaces or updates an instance's view of the fleet's membership.
type Members struct {
	Relay    InstanceID   `msgpack:"c"` // Control instance that sends the view.
	Seq      uint64       `msgpack:"q"`
	Complete bool         `msgpack:"w,omitempty"` // Members that are not listed are gone.
	Members  []Member     `msgpack:"m"`
	Gone     []InstanceID `msgpack:"g,omitempty"`
}

// SettingsRead asks for the settings after a revision, confirmed by a quorum
// when Confirm is set.
type SettingsRead struct {
	After   Revision `msgpack:"a"`
	Confirm bool     `msgpack:"c,omitempty"`
}

// Settings carries settings to a node: a delta from revision From, or the
// complete tree when Complete is set.
type Settings struct {
	From      Revision  `msgpack:"f"`
	To        Revision  `msgpack:"t"`
	Complete  bool      `msgpack:"w,omitempty"`
	Confirmed bool      `msgpack:"c,omitempty"` // Read through a quorum.
	More      bool      `msgpack:"m,omitempty"` // Further messages of the same update follow on the link.
	Written   []Setting `msgpack:"s,omitempty"`
	Deleted   []string  `msgpack:"d,omitempty"`
}

// ClaimState is the state of a claim on an idempotency key.
type ClaimState string

// The states of a claim.
const (
	ClaimGranted  ClaimState = "granted"   // The claiming request holds it and may be dispatched once.
	ClaimRunning  ClaimState = "running"   // Another request holds it and may still be running.
	ClaimInDoubt  ClaimState = "in_doubt"  // Its holder was lost; the request may have run and is never run again.
	ClaimDone     ClaimState = "done"      // The request ran; its outcome is recorded.
	ClaimNoQuorum ClaimState = "no_quorum" // No quorum answered before the deadline.
)

// Claim asks for the durable claim on (workspace, key) before dispatch.
type Claim struct {
	Call      uint64      `msgpack:"n"` // Matches the result to the call.
	Workspace WorkspaceID `msgpack:"w"`
	Key       string      `msgpack:"k"`
	Request   RequestID   `msgpack:"r"`
	Digest    []byte      `msgpack:"d"` // Of the request's method, target and body; a claim on the key with another digest is refused.
}

// ClaimResult answers a Claim or a ClaimOutcome.
type ClaimResult struct {
	Call     uint64         `msgpack:"n"`
	State    ClaimState     `msgpack:"s"`
	Mismatch bool           `msgpack:"m,omitempty"` // The key was used before for a request with another digest.
	Answer   RecordedAnswer `msgpack:"a"`
}

// RecordedAnswer is the stored answer of a claimed request.
type RecordedAnswer struct {
	Status      int           `msgpack:"s"`
	Header      []HeaderField `msgpack:"h,omitempty"`
	Body        []byte        `msgpack:"b,omitempty"`
	BodyOmitted bool          `msgpack:"c,omitempty"` // The body exceeded the size limit and was not recorded.
}

// ClaimOutcome records how a claimed request ended.
type ClaimOutcome struct {
	Call      uint64         `msgpack:"n"`
	Workspace WorkspaceID    `msgpack:"w"`
	Key       string         `msgpack:"k"`
	Request   RequestID      `msgpack:"r"`
	Outcome   OutcomeKind    `msgpack:"o"` // not_run releases the key; done records the answer; any other leaves the claim in doubt.
	Answer    RecordedAnswer `msgpack:"a"`
}

// OrderKind is the action that an order requests of an upstream.
type OrderKind string

// The kinds of orders to upstreams.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderLoadVersion OrderKind = "load_version"
	OrderChangeRole  OrderKind = "change_role"
)

// Order instructs an upstream to load a model, an adapter or a version, or to change its role.
type Order struct {
	ID       uint64          `json:"id" msgpack:"n"`
	Fence    Fence           `json:"fence" msgpack:"f"`
	Upstream UpstreamID      `json:"upstream" msgpack:"u"`
	Order    OrderKind       `json:"kind" msgpack:"k"`
	Model    ModelID         `json:"model,omitempty" msgpack:"m,omitempty"`
	Detail   json.RawMessage `json:"detail,omitempty" msgpack:"d,omitempty"`
}

// OrderResult reports the result of an order from the agent to control.
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

// Ping keeps a link alive and detects connections that were lost without a close. No code sets or reads its fields.
type Ping struct {
	Nonce uint64        `msgpack:"n"`
	Reply bool          `msgpack:"r,omitempty"`
	Sent  time.Duration `msgpack:"s,omitempty"`
}

// Hello is the handshake message that each side of a new link sends.
type Hello struct {
	Version uint16 `msgpack:"v"`
	Fleet   string `msgpack:"f"`
	Peer    Peer   `msgpack:"p"`
	Nonce   []byte `msgpack:"n"`
	Proof   []byte `msgpack:"h,omitempty"` // HMAC under the fleet key of the sender's side (dialer or accepter), the other side's nonce and this message without Proof.
}
