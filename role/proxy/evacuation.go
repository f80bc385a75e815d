package proxy

import "marigoldcleat.example/cleat"

// applyEvacuations stops requests from being sent to the upstreams of the given domains
// and decides again on waiting ones.
func (r *Role) applyEvacuations(revision uint64, domains []cleat.DomainID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planner.SetEvacuated(r.clock.Now(), domains)
	r.log.Info("evacuations in force", "revision", revision, "domains", domains)
	r.wakeDispatcher()
}
