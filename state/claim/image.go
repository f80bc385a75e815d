package claim

import (
	"errors"
	"sort"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"marigoldcleat.example/cleat"
)

// image is the complete table as serialized into a snapshot of the log.
type image struct {
	Elapsed       time.Duration  `msgpack:"e"`
	LastSettleSeq uint64         `msgpack:"s"`
	Claims        []*storedClaim `msgpack:"c"` // Running claims by holder and key, then the others in settlement order.
	Incarnations  []Holder       `msgpack:"n"` // Newest incarnation seen of each holder, sorted by instance.
}

type storedClaim struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Workspace   cleat.WorkspaceID
	Key         string
	State       state
	Request     cleat.RequestID
	Instance    cleat.InstanceID
	Incarnation cleat.Incarnation
	Digest      string
	Since       time.Duration
	SettleSeq   uint64                // Sequence number of the settlement, zero while running.
	Answer      *cleat.RecordedAnswer // Nil unless one is recorded.
	Abandoned   []cleat.RequestID
}

const storedClaimFieldCount = 11

var _ msgpack.CustomEncoder = (*storedClaim)(nil)

// EncodeMsgpack writes the claim field by field, which is faster than reflection: the
// replicated log waits while a snapshot is taken.
func (s *storedClaim) EncodeMsgpack(enc *msgpack.Encoder) error {
	return errors.Join(
		enc.EncodeArrayLen(storedClaimFieldCount),
		enc.EncodeString(string(s.Workspace)),
		enc.EncodeString(s.Key),
		enc.EncodeUint8(uint8(s.State)),
		enc.EncodeString(string(s.Request)),
		enc.EncodeString(string(s.Instance)),
		enc.EncodeUint64(uint64(s.Incarnation)),
		enc.EncodeString(s.Digest),
		enc.EncodeInt64(int64(s.Since)),
		enc.EncodeUint64(s.SettleSeq),
		s.encodeAnswer(enc),
		s.encodeAbandoned(enc),
	)
}

func (s *storedClaim) encodeAnswer(enc *msgpack.Encoder) error {
	if s.Answer == nil {
		return enc.EncodeNil()
	}
	return enc.Encode(s.Answer)
}

func (s *storedClaim) encodeAbandoned(enc *msgpack.Encoder) error {
	if err := enc.EncodeArrayLen(len(s.Abandoned)); err != nil {
		return err
	}
	for _, id := range s.Abandoned {
		if err := enc.EncodeString(string(id)); err != nil {
			return err
		}
	}
	return nil
}

// Marshal serializes the complete table; equal tables give equal bytes.
func (t *Table) Marshal() ([]byte, error) {
	im := image{Elapsed: t.elapsed, LastSettleSeq: t.lastSettleSeq, Claims: make([]*storedClaim, 0, len(t.claims))}
	for _, id := range t.holderIDs() {
		im.Claims = append(im.Claims, t.storedRunning(id)...)
	}
	for _, s := range t.settlements {
		if e, ok := t.claims[s.key]; ok && e.settleSeq == s.seq {
			im.Claims = append(im.Claims, newStoredClaim(s.key, e))
		}
	}
	for id, incarnation := range t.incarnations {
		im.Incarnations = append(im.Incarnations, Holder{Instance: id, Incarnation: incarnation})
	}
	sort.Slice(im.Incarnations, func(i, j int) bool { return im.Incarnations[i].Instance < im.Incarnations[j].Instance })
	b, err := msgpack.Marshal(&im)
	return b, trace.Wrap(err, "Table.Marshal")
}

func (t *Table) storedRunning(id cleat.InstanceID) []*storedClaim {
	var keys []claimKey
	for k := range t.running[id] {
		keys = append(keys, k)
	}
	sortKeys(keys)
	list := make([]*storedClaim, 0, len(keys))
	for _, k := range keys {
		list = append(list, newStoredClaim(k, t.claims[k]))
	}
	return list
}

func newStoredClaim(k claimKey, e *tableEntry) *storedClaim {
	s := &storedClaim{
		Workspace: k.workspace, Key: k.key, State: e.state, Request: e.request,
		Instance: e.holder.Instance, Incarnation: e.holder.Incarnation,
		Digest: e.digest, Since: e.since, SettleSeq: e.settleSeq, Abandoned: e.abandoned,
	}
	if e.state == stateDone {
		s.Answer = &e.answer
	}
	return s
}

// Unmarshal replaces the table with a marshalled one.
func (t *Table) Unmarshal(b []byte) error {
	var im image
	if err := msgpack.Unmarshal(b, &im); err != nil {
		return trace.Wrap(err, "Table.Unmarshal")
	}
	restored := NewTable()
	restored.elapsed, restored.lastSettleSeq = im.Elapsed, im.LastSettleSeq
	for _, h := range im.Incarnations {
		restored.incarnations[h.Instance] = h.Incarnation
	}
	for i := range im.Claims {
		restored.restoreClaim(im.Claims[i])
	}
	*t = *restored
	return nil
}

func (t *Table) restoreClaim(s *storedClaim) {
	k := claimKey{s.Workspace, s.Key}
	e := &tableEntry{
		state: s.State, request: s.Request, holder: Holder{Instance: s.Instance, Incarnation: s.Incarnation},
		digest: s.Digest, since: s.Since, settleSeq: s.SettleSeq, abandoned: s.Abandoned,
	}
	if s.Answer != nil {
		e.answer = *s.Answer
	}
	t.claims[k] = e
	if e.state == stateRunning {
		t.addRunning(k, e)
		return
	}
	settled := settlement{key: k, seq: e.settleSeq, at: e.since}
	t.settlements = append(t.settlements, settled)
	if len(e.answer.Body) > 0 {
		t.bodySettlements = append(t.bodySettlements, settled)
		t.bodyBytes += len(e.answer.Body)
	}
}

func (t *Table) addRunning(k claimKey, e *tableEntry) {
	held, ok := t.running[e.holder.Instance]
	if !ok {
		held = make(map[claimKey]*tableEntry)
		t.running[e.holder.Instance] = held
	}
	held[k] = e
}

func (t *Table) holderIDs() []cleat.InstanceID {
	ids := make([]cleat.InstanceID, 0, len(t.running))
	for id := range t.running {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func sortKeys(keys []claimKey) {
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].workspace != keys[j].workspace {
			return keys[i].workspace < keys[j].workspace
		}
		return keys[i].key < keys[j].key
	})
}
