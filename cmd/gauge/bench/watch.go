package bench

import (
	"sync"

	"marigoldcleat.example/cleat/stand/assert"
)

const violationsKept = 20

// Watch counts the violations of invariants while runs last.
type Watch struct {
	mu      sync.Mutex // Guards the rest; runs may go on side by side.
	n       int
	list    []string
	restore func()
}

// NewWatch begins to count violations.
func NewWatch() *Watch {
	w := &Watch{}
	w.restore = assert.SetHook(w.note)
	return w
}

func (w *Watch) note(name, msg string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.n++
	if len(w.list) < violationsKept {
		w.list = append(w.list, name+": "+msg)
	}
}

// Stop ends the counting and returns how many violations there were and the first of them.
func (w *Watch) Stop() (int, []string) {
	w.restore()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.n, w.list
}
