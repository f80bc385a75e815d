package cleat

import "time"

// Message is a typed message between two processes of the fleet.
type Message interface {
	// Kind returns the message's number on the wire.
	Kind() MessageKind
}

// MessageKind numbers the message types on the wire.
type MessageKind uint8

// The message kinds. Their numbers are part of the wire protocol and are never reused.
const (
	KindHello MessageKind = iota + 1
	KindOffers
	KindGrants
	KindDecline
	KindDispatch
	KindBody
	KindPart
	KindPartAck
	KindResume
	KindCancel
	KindRefused
	KindAgentState
	KindAsk
	KindLedgerReport
	KindLedgerSums
	KindRegister
	KindMembers
	KindSettingsRead
	KindSettings
	KindClaim
	KindClaimResult
	KindClaimOutcome
	KindOrder
	KindOrderResult
	KindPeer
	KindPing
	KindStatusRead
	KindStatusReport
	KindReplicaChange
	KindReplicaChanged
	KindManifestRead
	KindManifestUpdate
	KindUpstreamUpdate
	KindPlacementReport
	KindStreamReport
	KindStreamQuery
	KindCrashReport
	KindEvacuationUpdate
	KindUpstreamExits
	KindLimit // Greater than every kind.
)

// Stream identifies requests that are interchangeable to the scheduler: those of
// one workspace, class, kind and model.
type Stream struct {
	Workspace WorkspaceID  `msgpack:"w,intern"`
	Class     ClassName    `msgpack:"c,intern"`
	Kind      UpstreamKind `msgpack:"k,intern"`
	Model     ModelID      `msgpack:"m,intern"`
}

// Offer states how many requests of a stream wait at an entry now. It replaces the
// entry's earlier offer of the stream, so a lost, duplicate or late copy has no
// effect beyond stale numbers.
type Offer struct {
	Stream      Stream  `msgpack:"s"`
	Waiting     uint32  `msgpack:"n"`           // Zero withdraws the offer.
	HeadCost    Cost    `msgpack:"h"`           // Estimated cost of the first request.
	Rank        int     `msgpack:"r"`           // Precedence of the class; lower is served first.
	Share       float64 `msgpack:"f"`           // The workspace's share of capacity.
	Age         Seconds `msgpack:"a"`           // How long the first request has waited, in whole seconds.
	NewlyActive bool    `msgpack:"b,omitempty"` // The workspace recently became active at the entry after it had been idle.
	Affinity    uint8   `msgpack:"p,omitempty"` // 0–255: how much of the first request's prefix the entry expects to be cached at the agent.
}

// Offers carries changed offers of one entry to one agent. Seq increases; messages with an older Seq are dropped.
type Offers struct {
	Incarnation Incarnation `msgpack:"i"`
	Seq         uint64      `msgpack:"q"`
	Complete    bool        `msgpack:"w,omitempty"` // Offers of streams that are not listed are withdrawn.
	Offers      []Offer     `msgpack:"o"`
	LastGrant   uint64      `msgpack:"g"` // ID of the agent's last grant that the offers take into account.
}

// Grant permits an entry to use one slot of an upstream for one request of a stream.
type Grant struct {
	ID       uint64        `msgpack:"g"` // Unique within the agent's incarnation.
	Stream   Stream        `msgpack:"s"`
	Upstream UpstreamID    `msgpack:"u,intern"`
	Lifetime time.Duration `msgpack:"l"` // Counted from receipt; the agent reserves the slot a little longer.
}

// Grants carries grants of one agent to one entry.
type Grants struct {
	Incarnation Incarnation `msgpack:"i"`
	Grants      []Grant     `msgpack:"g"`
}

// Decline returns a grant unused.
type Decline struct {
	Incarnation Incarnation `msgpack:"i"`
	Grant       uint64      `msgpack:"g"`
}

// Dispatch starts an attempt under a grant.
type Dispatch struct {
	Incarnation Incarnation   `msgpack:"i"` // The agent's, as in the grant.
	Grant       uint64        `msgpack:"g"`
	Attempt     Attempt       `msgpack:"a"`
	Stream      Stream        `msgpack:"s"`
	Estimate    Cost          `msgpack:"e"`
	Share       float64       `msgpack:"f"`           // The workspace's share of capacity.
	Prefix      []uint64      `msgpack:"p,omitempty"` // Prefix digests of the prompt.
	Repeatable  bool          `msgpack:"x"`           // The request may run more than once.
	Timeout     time.Duration `msgpack:"t"`           // Time until the request's deadline.
	Method      string        `msgpack:"m"`
	Target      string        `msgpack:"u"` // Path and query.
	Header      []HeaderField `msgpack:"h"`
	Body        []byte        `msgpack:"b"`
	BodyMore    bool          `msgpack:"+,omitempty"` // Body messages follow.
}

// HeaderField is a header field of a request or an answer.
type HeaderField struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Body carries a further chunk of a request's body.
type Body struct {
	Attempt Attempt `msgpack:"a"`
	Offset  uint64  `msgpack:"o"`
	Data    []byte  `msgpack:"d"`
	More    bool    `msgpack:"m,omitempty"`
}

// Part carries a chunk of an answer. The receiver drops a part whose offset is not
// the next one expected and requests the answer again with Resume.
type Part struct {
	Attempt Attempt       `msgpack:"a"`
	Offset  uint64        `msgpack:"o"`
	Status  int           `msgpack:"s,omitempty"` // Set on the part with offset zero.
	Header  []HeaderField `msgpack:"h,omitempty"`
	Data    []byte        `msgpack:"d"`
	End     bool          `msgpack:"e,omitempty"`
	Outcome Outcome       `msgpack:"x"` // Valid when End is set.
}

// PartAck acknowledges the answer bytes up to Offset, so that the agent may discard them.
type PartAck struct {
	Attempt Attempt `msgpack:"a"`
	Offset  uint64  `msgpack:"o"`
	Done    bool    `msgpack:"d,omitempty"` // The complete answer arrived.
}

// Resume asks an agent to resend an answer from an offset.
type Resume struct {
	Attempt Attempt `msgpack:"a"`
	Offset  uint64  `msgpack:"o"`
}

// Cancel cancels an attempt whose answer is no longer needed.
type Cancel struct {
	Attempt Attempt `msgpack:"a"`
}

// Refused answers a Dispatch, Body or Resume that the agent did not accept.
type Refused struct {
	Attempt Attempt `msgpack:"a"`
	Reason  Reason  `msgpack:"r"`
	Ran     Ran     `msgpack:"n"`
}

// UpstreamState is the state of one upstream that an agent reports to entries.
type UpstreamState struct {
	Upstream      UpstreamID   `msgpack:"u,intern"`
	Kind          UpstreamKind `msgpack:"k,intern"`
	Models        []ModelID    `msgpack:"m"`
	Limit         uint32       `msgpack:"l"` // Concurrent requests that the agent currently admits.
	Running       uint32       `msgpack:"r"`
	Leaving       bool         `msgpack:"x,omitempty"`
	Slow          bool         `msgpack:"s,omitempty"` // It misses its latency targets or fails.
	Prefixes      []uint32     `msgpack:"p,omitempty"` // Low 32 bits of the digests added to its cache since the last state.
	ResetPrefixes bool         `msgpack:"f,omitempty"` // Discard the prefixes of earlier states.
}

// AgentState reports the agent's upstreams to an entry. Seq increases; messages with an older Seq are dropped.
type AgentState struct {
	Incarnation Incarnation     `msgpack:"i"`
	Seq         uint64          `msgpack:"q"`
	Domain      DomainID        `msgpack:"d,intern"`
	Upstreams   []UpstreamState `msgpack:"u"`
}

// Ask tells an entry that the agent has free slots for the models but no offers.
type Ask struct {
	Incarnation Incarnation `msgpack:"i"`
	Models      []ModelID   `msgpack:"m"`
}

// WorkspaceTotal is the service received by a workspace, in cost units per unit of share.
type WorkspaceTotal struct {
	Workspace     WorkspaceID `msgpack:"w,intern"`
	Service       float64     `msgpack:"s"`           // Cumulative, divided by the share at the time; never decreases.
	InFlight      float64     `msgpack:"f,omitempty"` // Estimated remaining service of running requests; a gauge, replaced by each report.
	ServiceFloor  float64     `msgpack:"l,omitempty"` // Service credited after idle time or a long lag; merged by maximum, so zero leaves it unchanged.
	OthersService float64     `msgpack:"k,omitempty"` // In complete reports: the sum of the other agents' Service that the agent knows of.
}

// LedgerReport carries an agent's cumulative totals of the workspaces that changed, or of all when Complete is set.
type LedgerReport struct {
	Agent       InstanceID       `msgpack:"a,intern"`
	Incarnation Incarnation      `msgpack:"i"`
	Seq         uint64           `msgpack:"q"`
	Complete    bool             `msgpack:"w,omitempty"`
	Totals      []WorkspaceTotal `msgpack:"t"`
}

// LedgerSums carries the fleet's totals to an agent, without those that the
// recipient's current incarnation reported itself. It is sent by a relay, the part of
// a control instance that merges the reports of agents. AckedSeq is the Seq of the
// recipient's last report that the relay holds, or zero when the relay needs a
// complete report.
type LedgerSums struct {
	Relay       InstanceID       `msgpack:"r,intern"`
	Incarnation Incarnation      `msgpack:"i"` // The relay's.
	Seq         uint64           `msgpack:"q"`
	AckedSeq    uint64           `msgpack:"s"`
	Complete    bool             `msgpack:"w,omitempty"`
	Ready       bool             `msgpack:"y,omitempty"` // The relay has had time to collect the fleet's reports, and no totals are deferred to the next sums.
	Agents      uint32           `msgpack:"n,omitempty"` // Number of agents whose reports the relay holds, directly or through others; it determines the report interval.
	Totals      []WorkspaceTotal `msgpack:"t"`
	Partial     bool             `msgpack:"p,omitempty"` // Agents that may still return have not reported recently; the totals may lack their service since then.
}
