package quorum

import (
	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"marigoldcleat.example/cleat"
)

// MessageKind is the kind of a message between replicas.
type MessageKind uint8

// The kinds of messages between replicas.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgSnapshot
	MsgSnapshotReply
	MsgPropose
	MsgProposeReply // A proposal was certainly not accepted.
	MsgRead
	MsgReadReply
	MsgCampaign // The leader asks the receiver to start an election at once (TimeoutNow in Raft).
	MsgJoin     // A replica announces itself in order to become a member.
)

// Message is a message between replicas; Kind determines which fields are used.
type Message struct {
	Kind     MessageKind      `msgpack:"k"`
	Cluster  ClusterID        `msgpack:"c,omitempty"`
	From     ReplicaID        `msgpack:"f"`
	Instance cleat.InstanceID `msgpack:"a"` // Instance of the sender.
	To       ReplicaID        `msgpack:"t,omitempty"`
	Term     uint64           `msgpack:"e,omitempty"`
	Index    uint64           `msgpack:"i,omitempty"` // Of the previous, last or matching entry, a snapshot or a read, depending on Kind.
	LogTerm  uint64           `msgpack:"l,omitempty"` // Term of the entry at Index.
	Commit   uint64           `msgpack:"m,omitempty"`
	Reject   bool             `msgpack:"r,omitempty"`
	Hint     uint64           `msgpack:"h,omitempty"` // Index at which the log of a rejecting follower may match.
	Round    uint64           `msgpack:"n,omitempty"` // Heartbeat round; replies return it.
	Transfer bool             `msgpack:"x,omitempty"` // The election is a leadership transfer that the leader requested.
	Entries  []Entry          `msgpack:"s,omitempty"`
	Snapshot *SnapshotMeta    `msgpack:"p,omitempty"`
	Offset   uint64           `msgpack:"o,omitempty"` // Of Data in the snapshot; in a reply, the offset expected next.
	Data     []byte           `msgpack:"d,omitempty"`
	Session  uint64           `msgpack:"g,omitempty"` // Session of the replica that made the proposal or read.
	ID       uint64           `msgpack:"q,omitempty"`
	Relayed  bool             `msgpack:"y,omitempty"` // An announcement that a follower forwarded to its leader.
}

// Envelope is a message and its destination instance.
type Envelope struct {
	To      cleat.InstanceID
	Message *Message
}

// Encode returns the message in the encoding used on links.
func (e Envelope) Encode() (*cleat.PeerMessage, error) {
	data, err := msgpack.Marshal(e.Message)
	if err != nil {
		return nil, trace.Wrap(err, "Envelope.Encode")
	}
	return &cleat.PeerMessage{Data: data}, nil
}

func decodeMessage(p *cleat.PeerMessage) (*Message, error) {
	m := &Message{}
	if err := msgpack.Unmarshal(p.Data, m); err != nil {
		return nil, trace.BadParameter("decodeMessage: %v", err)
	}
	return m, nil
}
