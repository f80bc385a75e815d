package cleat

import "time"

// Message is one typed message between two processes of the fleet.
type Message interface {
	// Kind returns the message's number on the wire.
	Kind() MessageKind
}

// MessageKind numbers the message types on the wire.
type MessageKind uint8

// The message kinds; numbers are never reused.
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
	KindLimit // Above every kind.
)

// Stream identifies requests that are interchangeable to a picker: one
// workspace, one class, one model.
type Stream struct {
	Workspace WorkspaceID  `msgpack:"w,intern"`
	Class     ClassName    `msgpack:"c,intern"`
	Kind      UpstreamKind `msgpack:"k,intern"`
	Model     ModelID      `msgpack:"m,intern"`
}

// Offer states how much of a stream waits at an entry now. It replaces the
// entry's earlier offer of the stream, so a lost, doubled or late copy does no
// harm beyond its age.
type Offer struct {
	Stream   Stream  `msgpack:"s"`
	Waiting  uint32  `msgpack:"n"`           // Zero withdraws the stream.
	Head     Cost    `msgpack:"h"`           // Estimate of the first request.
	Rank     int     `msgpack:"r"`           // Precedence of the class; lower goes first.
	Share    float64 `msgpack:"f"`           // The workspace's share of capacity.
	Age      Seconds `msgpack:"a"`           // How long the first request has waited, in whole seconds.
	Fresh    bool    `msgpack:"b,omitempty"` // The workspace just began to have work waiting at the entry.
	Affinity uint8   `msgpack:"p,omitempty"` // 0–255: how much of its prefix the entry believes is cached at the agent.
}

// Offers carries changed offers of one entry to one agent; Seq rises, older ones are dropped.
type Offers struct {
	Incarnation Incarnation `msgpack:"i"`
	Seq         uint64      `msgpack:"q"`
	Whole       bool        `msgpack:"w,omitempty"` // Streams not named are withdrawn.
	Offers      []Offer     `msgpack:"o"`
	Granted     uint64      `msgpack:"g"` // The last of the agent's grants that the offers take into account.
}

// Grant lends one slot of an upstream to an entry for a request of a stream.
type Grant struct {
	ID       uint64        `msgpack:"g"` // Unique within the agent's incarnation.
	Stream   Stream        `msgpack:"s"`
	Upstream UpstreamID    `msgpack:"u,intern"`
	Lifetime time.Duration `msgpack:"l"` // From receipt; the agent keeps the slot a little longer.
}

// Grants carries grants of one agent to one entry.
type Grants struct {
	Incarnation Incarnation `msgpack:"i"`
	Grants      []Grant     `msgpack:"g"`
}

// Decline gives a grant back unused.
type Decline struct {
	Incarnation Incarnation `msgpack:"i"`
	Grant       uint64      `msgpack:"g"`
}

// Dispatch starts an attempt under a grant.
type Dispatch struct {
	Incarnation Incarnation   `msgpack:"i"` // The agent's, as named by the grant.
	Grant       uint64        `msgpack:"g"`
	Attempt     Attempt       `msgpack:"a"`
	Stream      Stream        `msgpack:"s"`
	Estimate    Cost          `msgpack:"e"`
	Share       float64       `msgpack:"f"`
	Prefix      []uint64      `msgpack:"p,omitempty"`
	Repeatable  bool          `msgpack:"x"`
	Timeout     time.Duration `msgpack:"t"` // Until the request's deadline.
	Method      string        `msgpack:"m"`
	Target      string        `msgpack:"u"` // Path and query.
	Header      []HeaderField `msgpack:"h"`
	Body        []byte        `msgpack:"b"`
	BodyMore    bool          `msgpack:"+,omitempty"` // Body messages follow.
}

// HeaderField is one header line of a request or an answer.
type HeaderField struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Body carries a further piece of a request's body.
type Body struct {
	Attempt Attempt `msgpack:"a"`
	Offset  uint64  `msgpack:"o"`
	Data    []byte  `msgpack:"d"`
	More    bool    `msgpack:"m,omitempty"`
}

// Part carries a piece of an answer; parts whose offset is not the next one
// expected are dropped and asked for again.
type Part struct {
	Attempt Attempt       `msgpack:"a"`
	Offset  uint64        `msgpack:"o"`
	Status  int           `msgpack:"s,omitempty"` // Set on the part with offset zero.
	Header  []HeaderField `msgpack:"h,omitempty"`
	Data    []byte        `msgpack:"d"`
	End     bool          `msgpack:"e,omitempty"`
	Outcome Outcome       `msgpack:"x"` // Valid when End is set.
}

// PartAck tells the agent which answer bytes the entry has, so that it may drop them.
type PartAck struct {
	Attempt Attempt `msgpack:"a"`
	Offset  uint64  `msgpack:"o"`
	Done    bool    `msgpack:"d,omitempty"` // The whole answer arrived.
}

// Resume asks an agent to send an answer again from an offset.
type Resume struct {
	Attempt Attempt `msgpack:"a"`
	Offset  uint64  `msgpack:"o"`
}

// Cancel ends an attempt that nobody waits for.
type Cancel struct {
	Attempt Attempt `msgpack:"a"`
}

// Refused answers a Dispatch, Body or Resume that the agent did not take.
type Refused struct {
	Attempt Attempt `msgpack:"a"`
	Reason  Reason  `msgpack:"r"`
	Ran     Ran     `msgpack:"n"`
}

// UpstreamState is what an agent tells entries of one of its upstreams.
type UpstreamState struct {
	Upstream UpstreamID   `msgpack:"u,intern"`
	Kind     UpstreamKind `msgpack:"k,intern"`
	Models   []ModelID    `msgpack:"m"`
	Limit    uint32       `msgpack:"l"` // Requests admitted at once now.
	Running  uint32       `msgpack:"r"`
	Leaving  bool         `msgpack:"x,omitempty"`
	Slow     bool         `msgpack:"s,omitempty"` // Missing its latency targets or failing.
	Prefixes []uint32     `msgpack:"p,omitempty"` // Low halves of digests added to its cache since the last state.
	Forget   bool         `msgpack:"f,omitempty"` // Earlier prefixes are no longer known.
}

// AgentState tells an entry what the agent offers; Seq rises, older ones are dropped.
type AgentState struct {
	Incarnation Incarnation     `msgpack:"i"`
	Seq         uint64          `msgpack:"q"`
	Domain      DomainID        `msgpack:"d,intern"`
	Upstreams   []UpstreamState `msgpack:"u"`
}

// Ask tells an entry that the agent has free slots for a model and no offers.
type Ask struct {
	Incarnation Incarnation `msgpack:"i"`
	Models      []ModelID   `msgpack:"m"`
}

// WorkspaceTotal is service received by a workspace, in cost units for one share.
type WorkspaceTotal struct {
	Workspace WorkspaceID `msgpack:"w,intern"`
	Service   float64     `msgpack:"s"`           // Cumulative, divided by the share at the time; never falls.
	InFlight  float64     `msgpack:"f,omitempty"` // Estimated rest of what runs now; a level, replaced by each report.
	Lift      float64     `msgpack:"l,omitempty"` // Raised on return from idle; merged by maximum, so zero where it did not change.
	Known     float64     `msgpack:"k,omitempty"` // In whole reports: what the agent knows of all others' Service.
}

// LedgerReport carries an agent's cumulative totals for workspaces that changed.
type LedgerReport struct {
	Agent       InstanceID       `msgpack:"a,intern"`
	Incarnation Incarnation      `msgpack:"i"`
	Seq         uint64           `msgpack:"q"`
	Whole       bool             `msgpack:"w,omitempty"`
	Totals      []WorkspaceTotal `msgpack:"t"`
}

// LedgerSums carries the fleet's totals back, without what the recipient's
// present incarnation reported itself. Seen is the recipient's last report that
// the relay holds, or zero when the relay needs the whole of it.
type LedgerSums struct {
	Relay       InstanceID       `msgpack:"r,intern"`
	Incarnation Incarnation      `msgpack:"i"` // The relay's.
	Seq         uint64           `msgpack:"q"`
	Seen        uint64           `msgpack:"s"`
	Whole       bool             `msgpack:"w,omitempty"`
	Ready       bool             `msgpack:"y,omitempty"` // The relay has heard the fleet, and nothing is left over for the next sums.
	Agents      uint32           `msgpack:"n,omitempty"` // That the relay hears; the pace of reports follows from it.
	Totals      []WorkspaceTotal `msgpack:"t"`
	Partial     bool             `msgpack:"p,omitempty"` // Agents that may come back are silent.
}
