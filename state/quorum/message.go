package quorum

import (
	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"marigoldcleat.example/cleat"
)

// MessageKind tells messages between replicas apart.
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
	MsgProposeReply // Says that a proposal was certainly not accepted.
	MsgRead
	MsgReadReply
	MsgCampaign // The leader hands over.
	MsgJoin     // A replica that is no member makes itself known.
)

// Message is what replicas send each other; which fields count depends on Kind.
type Message struct {
	Kind     MessageKind      `msgpack:"k"`
	Cluster  ClusterID        `msgpack:"c,omitempty"`
	From     ReplicaID        `msgpack:"f"`
	Instance cleat.InstanceID `msgpack:"a"` // Of the sender.
	To       ReplicaID        `msgpack:"t,omitempty"`
	Term     uint64           `msgpack:"e,omitempty"`
	Index    uint64           `msgpack:"i,omitempty"` // Previous, last or matching entry.
	LogTerm  uint64           `msgpack:"l,omitempty"` // Of the entry at Index.
	Commit   uint64           `msgpack:"m,omitempty"`
	Reject   bool             `msgpack:"r,omitempty"`
	Hint     uint64           `msgpack:"h,omitempty"` // Where a rejecting follower may match.
	Round    uint64           `msgpack:"n,omitempty"` // Of heartbeats; replies return it.
	Transfer bool             `msgpack:"x,omitempty"` // A vote that the leader asked for.
	Entries  []Entry          `msgpack:"s,omitempty"`
	Snapshot *SnapshotMeta    `msgpack:"p,omitempty"`
	Offset   uint64           `msgpack:"o,omitempty"` // Of Data in the snapshot, or wanted next.
	Data     []byte           `msgpack:"d,omitempty"`
	Origin   uint64           `msgpack:"g,omitempty"` // Session of a proposal or read.
	ID       uint64           `msgpack:"q,omitempty"`
	Relayed  bool             `msgpack:"y,omitempty"` // A join that a follower passed on to its leader.
}

// Envelope is a message with the instance it goes to.
type Envelope struct {
	To      cleat.InstanceID
	Message *Message
}

// Encode returns the message as links carry it.
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
