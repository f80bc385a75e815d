package quorum

import (
	"context"
	"time"

	"marigoldcleat.example/cleat/state/store"
)

// tickWorker lets time pass.
func (h *Host) tickWorker(ctx context.Context) {
	ticker := time.NewTicker(h.cfg.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.do(h.replica.Tick)
		}
	}
}

// snapshotWorker takes snapshots outside the mutex, so that a large state does
// not hold up heartbeats.
func (h *Host) snapshotWorker(ctx context.Context) {
	ticker := time.NewTicker(snapshotCheck)
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
		h.do(func(now time.Time) { h.replica.EndSnapshot(now, data, err) })
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

// diskWorker writes batch after batch; what comes meanwhile shares the next sync.
func (h *Host) diskWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.work:
		}
		h.mu.Lock()
		b := h.replica.Work()
		h.mu.Unlock()
		if b == nil {
			continue
		}
		if !h.write(ctx, b) {
			return
		}
		h.do(func(now time.Time) { h.replica.Synced(now, b) })
	}
}

// write tries until the batch is synced, or returns false when ctx ends first.
func (h *Host) write(ctx context.Context, b *Batch) bool {
	for {
		err := b.Write(h.store)
		h.noteDisk(err)
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

// noteDisk gives up leading while the disk fails, so that another replica can.
func (h *Host) noteDisk(err error) {
	h.mu.Lock()
	failed := h.diskErr != nil
	h.diskErr = err
	h.mu.Unlock()
	switch {
	case err != nil:
		h.log.Error("can't write the log", "full", store.IsDiskFull(err), "err", err)
		h.do(h.replica.DiskFailed)
	case failed:
		h.log.Info("the log can be written again")
	}
}

// sendWorker sends messages in order, outside the replica's mutex.
func (h *Host) sendWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.send:
		}
		h.sendMu.Lock()
		queue := h.queue
		h.queue = nil
		h.sendMu.Unlock()
		for _, e := range queue {
			h.sendOne(e)
		}
	}
}

func (h *Host) sendOne(e Envelope) {
	m, err := e.Encode()
	if err == nil {
		err = h.transport.Send(e.To, m)
	}
	if err != nil {
		h.do(func(time.Time) { h.replica.SendFailed(e) })
	}
}

// handOver lets another replica lead before this one stops.
func (h *Host) handOver() {
	h.do(h.replica.TransferLeader)
	deadline := time.After(handoverTimeout)
	ticker := time.NewTicker(h.cfg.TickInterval)
	defer ticker.Stop()
	for h.leadsOthers() {
		select {
		case <-deadline:
			return
		case <-ticker.C:
		}
	}
}

func (h *Host) leadsOthers() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replica.core.duty == DutyLeader && len(h.replica.core.otherMembers()) > 0
}
