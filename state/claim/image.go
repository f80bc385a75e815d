package claim

import (
	"errors"
	"sort"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"marigoldcleat.example/cleat"
)

// image is the whole table in the form a snapshot of the log keeps.
type image struct {
	Elapsed  time.Duration  `msgpack:"e"`
	Settling uint64         `msgpack:"s"`
	Claims   []*storedClaim `msgpack:"c"` // Running ones by holder and name, then by settling.
	Newest   []Holder       `msgpack:"n"` // By instance.
}

type storedClaim struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Workspace cleat.WorkspaceID
	Key       string
	State     state
	Request   cleat.RequestID
	Instance  cleat.InstanceID
	Life      cleat.Incarnation
	Digest    string
	Since     time.Duration
	Settled   uint64
	Answer    *cleat.RecordedAnswer // Nil unless one is recorded.
	Abandoned []cleat.RequestID
}

const storedFields = 11

var _ msgpack.CustomEncoder = (*storedClaim)(nil)

// EncodeMsgpack writes the claim field by field, faster than by reflection: a
// snapshot holds up the replicated log.
func (s *storedClaim) EncodeMsgpack(enc *msgpack.Encoder) error {
	return errors.Join(
		enc.EncodeArrayLen(storedFields),
		enc.EncodeString(string(s.Workspace)),
		enc.EncodeString(s.Key),
		enc.EncodeUint8(uint8(s.State)),
		enc.EncodeString(string(s.Request)),
		enc.EncodeString(string(s.Instance)),
		enc.EncodeUint64(uint64(s.Life)),
		enc.EncodeString(s.Digest),
		enc.EncodeInt64(int64(s.Since)),
		enc.EncodeUint64(s.Settled),
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

// Marshal returns the whole table; equal tables give equal bytes.
func (t *Table) Marshal() ([]byte, error) {
	im := image{Elapsed: t.elapsed, Settling: t.settling, Claims: make([]*storedClaim, 0, len(t.claims))}
	for _, id := range t.holderIDs() {
		im.Claims = append(im.Claims, t.storeRunning(id)...)
	}
	for _, s := range t.settled {
		if e, ok := t.claims[s.name]; ok && e.settled == s.settled {
			im.Claims = append(im.Claims, store(s.name, e))
		}
	}
	for id, incarnation := range t.incarnations {
		im.Newest = append(im.Newest, Holder{Instance: id, Incarnation: incarnation})
	}
	sort.Slice(im.Newest, func(i, j int) bool { return im.Newest[i].Instance < im.Newest[j].Instance })
	b, err := msgpack.Marshal(&im)
	return b, trace.Wrap(err, "Table.Marshal")
}

func (t *Table) storeRunning(id cleat.InstanceID) []*storedClaim {
	var names []name
	for n := range t.running[id] {
		names = append(names, n)
	}
	sortNames(names)
	list := make([]*storedClaim, 0, len(names))
	for _, n := range names {
		list = append(list, store(n, t.claims[n]))
	}
	return list
}

func store(n name, e *entry) *storedClaim {
	s := &storedClaim{
		Workspace: n.workspace, Key: n.key, State: e.state, Request: e.request,
		Instance: e.holder.Instance, Life: e.holder.Incarnation,
		Digest: e.digest, Since: e.since, Settled: e.settled, Abandoned: e.abandoned,
	}
	if e.state == stateDone {
		s.Answer = &e.answer
	}
	return s
}

// Unmarshal replaces the table by a marshalled one.
func (t *Table) Unmarshal(b []byte) error {
	var im image
	if err := msgpack.Unmarshal(b, &im); err != nil {
		return trace.Wrap(err, "Table.Unmarshal")
	}
	fresh := NewTable()
	fresh.elapsed, fresh.settling = im.Elapsed, im.Settling
	for _, h := range im.Newest {
		fresh.incarnations[h.Instance] = h.Incarnation
	}
	for i := range im.Claims {
		fresh.load(im.Claims[i])
	}
	*t = *fresh
	return nil
}

func (t *Table) load(s *storedClaim) {
	n := name{s.Workspace, s.Key}
	e := &entry{
		state: s.State, request: s.Request, holder: Holder{Instance: s.Instance, Incarnation: s.Life},
		digest: s.Digest, since: s.Since, settled: s.Settled, abandoned: s.Abandoned,
	}
	if s.Answer != nil {
		e.answer = *s.Answer
	}
	t.claims[n] = e
	if e.state == stateRunning {
		t.hold(n, e)
		return
	}
	at := settlement{name: n, settled: e.settled, at: e.since}
	t.settled = append(t.settled, at)
	if len(e.answer.Body) > 0 {
		t.bodies = append(t.bodies, at)
		t.bodyBytes += len(e.answer.Body)
	}
}

func (t *Table) hold(n name, e *entry) {
	held, ok := t.running[e.holder.Instance]
	if !ok {
		held = make(map[name]*entry)
		t.running[e.holder.Instance] = held
	}
	held[n] = e
}

func (t *Table) holderIDs() []cleat.InstanceID {
	ids := make([]cleat.InstanceID, 0, len(t.running))
	for id := range t.running {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func sortNames(names []name) {
	sort.Slice(names, func(i, j int) bool {
		if names[i].workspace != names[j].workspace {
			return names[i].workspace < names[j].workspace
		}
		return names[i].key < names[j].key
	})
}
