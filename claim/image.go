package claim

import (
	"sort"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"marigoldcleat.example/cleat"
)

// image is the whole table in the form a snapshot of the log keeps.
type image struct {
	Elapsed  time.Duration `msgpack:"e"`
	Settling uint64        `msgpack:"s"`
	Claims   []storedClaim `msgpack:"c"` // By settling, then name.
	Newest   []Holder      `msgpack:"n"` // By instance.
}

type storedClaim struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Workspace cleat.WorkspaceID
	Key       string
	State     state
	Request   cleat.RequestID
	Holder    Holder
	Digest    string
	Since     time.Duration
	Settled   uint64
	Answer    cleat.RecordedAnswer
	Abandoned []cleat.RequestID
}

// Marshal returns the whole table; equal tables give equal bytes.
func (t *Table) Marshal() ([]byte, error) {
	im := image{Elapsed: t.elapsed, Settling: t.settling, Claims: make([]storedClaim, 0, len(t.claims))}
	for n, e := range t.claims {
		im.Claims = append(im.Claims, store(n, e))
	}
	sort.Slice(im.Claims, func(i, j int) bool { return im.Claims[i].less(&im.Claims[j]) })
	for id, incarnation := range t.incarnations {
		im.Newest = append(im.Newest, Holder{Instance: id, Incarnation: incarnation})
	}
	sort.Slice(im.Newest, func(i, j int) bool { return im.Newest[i].Instance < im.Newest[j].Instance })
	b, err := msgpack.Marshal(&im)
	return b, trace.Wrap(err, "Table.Marshal")
}

func store(n name, e *entry) storedClaim {
	return storedClaim{
		Workspace: n.workspace, Key: n.key, State: e.state, Request: e.request, Holder: e.holder,
		Digest: e.digest, Since: e.since, Settled: e.settled, Answer: e.answer, Abandoned: e.abandoned,
	}
}

func (s *storedClaim) less(other *storedClaim) bool {
	if s.Settled != other.Settled {
		return s.Settled < other.Settled
	}
	if s.Workspace != other.Workspace {
		return s.Workspace < other.Workspace
	}
	return s.Key < other.Key
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
		fresh.load(&im.Claims[i])
	}
	*t = *fresh
	return nil
}

func (t *Table) load(s *storedClaim) {
	n := name{s.Workspace, s.Key}
	e := &entry{
		state: s.State, request: s.Request, holder: s.Holder, digest: s.Digest,
		since: s.Since, settled: s.Settled, answer: s.Answer, abandoned: s.Abandoned,
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
