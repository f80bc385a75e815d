package quorum

import (
	"context"
	"time"

	"marigoldcleat.example/cleat/state/store"
)

// tickWorker calls Tick at every TickInterval.
func (h *Host) tickWorker(ctx context.Context) {
	ticker := time.NewTicker(h.cfg.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.withReplica(h.replica.Tick)
		}
	}
}

// snapshotWorker takes snapshots outside the mutex, so that a large state does
// not delay heartbeats.
func (h *Host) snapshotWorker(ctx context.Context) {
	ticker := time.NewTicker(snapshotCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !h.beginSnapshot() {
			continue
		}
		data, err := h.machine.Snapshot()
		h.withReplica(func(now time.Time) { h.replica.EndSnapshot(now, data, err) })
	}
}

func (h *Host) beginSnapshot() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.replica.SnapshotDue() {
		return false
	}
	h.replica.BeginSnapshot()
	return true
}

// diskWorker writes batches one at a time; output that is produced during a write
// goes into the next batch and shares its sync.
func (h *Host) diskWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.workReady:
		}
		h.mu.Lock()
		b := h.replica.NextBatch()
		h.mu.Unlock()
		if b == nil {
			continue
		}
		if !h.writeBatch(ctx, b) {
			return
		}
		h.withReplica(func(now time.Time) { h.replica.BatchSynced(now, b) })
	}
}

// writeBatch retries until the batch is synced. It returns false if ctx ends first.
func (h *Host) writeBatch(ctx context.Context, b *Batch) bool {
	for {
		err := b.Write(h.store)
		h.recordDiskResult(err)
		if err == nil {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(diskRetryDelay):
		}
	}
}

// recordDiskResult steps down if a write failed, so that another replica can lead.
func (h *Host) recordDiskResult(err error) {
	h.mu.Lock()
	failed := h.diskErr != nil
	h.diskErr = err
	h.mu.Unlock()
	switch {
	case err != nil:
		h.log.Error("can't write the log", "full", store.IsDiskFull(err), "err", err)
		h.withReplica(h.replica.HandleDiskFailure)
	case failed:
		h.log.Info("the log is writable again")
	}
}

// sendWorker sends queued messages in order, outside the mutex.
func (h *Host) sendWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.sendReady:
		}
		h.sendMu.Lock()
		queue := h.queue
		h.queue = nil
		h.sendMu.Unlock()
		for _, e := range queue {
			h.sendEnvelope(e)
		}
	}
}

func (h *Host) sendEnvelope(e Envelope) {
	m, err := e.Encode()
	if err == nil {
		err = h.transport.Send(e.To, m)
	}
	if err != nil {
		h.withReplica(func(time.Time) { h.replica.HandleSendFailure(e) })
	}
}

// TransferLeadership asks another replica to take over, if this one leads, and waits for up to
// transferTimeout before this one stops.
func (h *Host) TransferLeadership() {
	h.withReplica(h.replica.TransferLeader)
	deadline := time.After(transferTimeout)
	ticker := time.NewTicker(h.cfg.TickInterval)
	defer ticker.Stop()
	for h.leadsFollowers() {
		select {
		case <-deadline:
			return
		case <-ticker.C:
		}
	}
}

func (h *Host) leadsFollowers() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replica.core.role == RoleLeader && len(h.replica.core.peers()) > 0
}
