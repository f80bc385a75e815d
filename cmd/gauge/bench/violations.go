package bench

import (
	"sync"

	"marigoldcleat.example/cleat/stand/assert"
)

const maxRecordedViolations = 20

// ViolationRecorder counts invariant violations while runs are in progress.
type ViolationRecorder struct {
	mu      sync.Mutex // Guards total and first; runs may be concurrent.
	total   int
	first   []string
	restore func()
}

// StartViolationRecorder installs a recorder of violations until its Stop is called.
func StartViolationRecorder() *ViolationRecorder {
	r := &ViolationRecorder{}
	r.restore = assert.SetHook(r.record)
	return r
}

func (r *ViolationRecorder) record(name, msg string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if len(r.first) < maxRecordedViolations {
		r.first = append(r.first, name+": "+msg)
	}
}

// Stop uninstalls the recorder and returns the number of violations and the first
// maxRecordedViolations of them.
func (r *ViolationRecorder) Stop() (int, []string) {
	r.restore()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total, r.first
}
