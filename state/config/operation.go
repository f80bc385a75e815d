package config

import "marigoldcleat.example/cleat"

// Retention of recorded results: those of the last MaxOperations changes, or fewer
// while they exceed MaxOperationsBytes in total, but at least MinOperations.
const (
	MaxOperations      = 10000
	MinOperations      = 100
	MaxOperationsBytes = 8 << 20
)

// operation is the recorded result of a change, returned when it is resent.
type operation struct {
	ID     string             `msgpack:"i"`
	Digest []byte             `msgpack:"d"`
	Result cleat.ChangeResult `msgpack:"r"`
}

func (o operation) size() int {
	n := len(o.ID) + len(o.Digest) + len(o.Result.Problem)
	if o.Result.Conflict != nil {
		n += len(o.Result.Conflict.Value)
	}
	return n
}

// operations holds recorded results in the order in which they were added.
type operations struct {
	byID  map[string]operation
	order []string
	bytes int
}

func newOperations() operations {
	return operations{byID: make(map[string]operation)}
}

// find returns the result recorded under an operation id, unless it was evicted.
func (o *operations) find(id string) (operation, bool) {
	recorded, ok := o.byID[id]
	return recorded, ok
}

func (o *operations) add(id string, digest []byte, r cleat.ChangeResult) {
	op := operation{ID: id, Digest: digest, Result: r}
	o.byID[id] = op
	o.order = append(o.order, id)
	o.bytes += op.size()
	for o.exceedsBounds() {
		o.evictOldest()
	}
}

func (o *operations) exceedsBounds() bool {
	return len(o.order) > MaxOperations || (o.bytes > MaxOperationsBytes && len(o.order) > MinOperations)
}

func (o *operations) evictOldest() {
	id := o.order[0]
	o.bytes -= o.byID[id].size()
	delete(o.byID, id)
	o.order[0] = ""
	o.order = o.order[1:]
}

// list returns the operations in order, for a snapshot.
func (o *operations) list() []operation {
	list := make([]operation, 0, len(o.order))
	for _, id := range o.order {
		list = append(list, o.byID[id])
	}
	return list
}
