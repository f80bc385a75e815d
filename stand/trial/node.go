package trial

import (
	"errors"
	"fmt"
	"math/rand"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/fdisk"
	"marigoldcleat.example/cleat/state/quorum"
	"marigoldcleat.example/cleat/state/store"
)

const (
	diskRetry    = 200 * time.Millisecond
	snapshotTime = 7 * time.Millisecond
	// clockStart is far from zero, so that clocks can be set back.
	clockStart = 1_000_000 * time.Hour
)

// Node is one instance of a cluster.
type Node struct {
	cluster *Cluster
	index   int
	id      cleat.InstanceID
	cfg     quorum.Config
	disk    *fdisk.Disk
	store   *store.Store
	replica *quorum.Replica // Nil while it is down.
	machine *machine
	life    int
	broken  error // Why it could not start.

	offset  time.Duration // Of the local clock.
	rate    float64
	rateAt  time.Duration // When the rate was set.
	smallAt time.Duration // When the clock last jumped by a little.
	writing bool

	identity quorum.ReplicaID // Of the data on the disk.
	changing bool             // A membership change was not committed when it went down.
}

func newNode(c *Cluster, index int, id cleat.InstanceID, first, all []cleat.InstanceID) *Node {
	n := &Node{cluster: c, index: index, id: id, cfg: c.cfg.Quorum, rate: 1, offset: clockStart}
	n.cfg.Self = id
	n.cfg.Peers = all
	if index < len(first) {
		n.cfg.InitialInstances = first
	}
	n.cfg.Defaults()
	n.Wipe()
	return n
}

// ID returns the instance's name.
func (n *Node) ID() cleat.InstanceID { return n.id }

// Disk returns the instance's disk.
func (n *Node) Disk() *fdisk.Disk { return n.disk }

// Up reports whether the instance runs.
func (n *Node) Up() bool { return n.replica != nil }

// Err returns why the instance could not start, or nil.
func (n *Node) Err() error { return n.broken }

// String tells where the instance stands.
func (n *Node) String() string {
	if !n.Up() {
		return fmt.Sprintf("%s down: %v", n.id, n.broken)
	}
	s := n.Status()
	return fmt.Sprintf("%s %s of %q term %d leader %s log %d commit %d applied %d members %v candidates %v",
		s.Replica, s.Role, s.Cluster, s.Term, s.Leader, s.LastIndex, s.Commit, s.Applied, s.Members, s.JoinCandidates)
}

// Status returns where the replica stands; the instance must be up.
func (n *Node) Status() quorum.Status { return n.replica.Status(n.local()) }

// Wipe replaces the disk of an instance that is down by an empty one.
func (n *Node) Wipe() {
	n.identity = ""
	n.disk = fdisk.New(rand.New(rand.NewSource(n.cluster.rnd.Int63())))
}

// SetClock moves the local clock by jump and makes it run at rate times true time.
func (n *Node) SetClock(jump time.Duration, rate float64) {
	n.offset = time.Duration(n.local().UnixNano()) + jump
	n.rateAt = n.cluster.now
	n.rate = rate
}

func (n *Node) local() time.Time {
	elapsed := float64(n.cluster.now-n.rateAt) * n.rate
	return time.Unix(0, int64(n.offset)+int64(elapsed))
}

// Start opens the disk and runs the replica; a crash point of the disk may
// keep it down.
func (n *Node) Start() {
	if n.Up() {
		return
	}
	n.writing = false
	s, contents, err := store.Open(store.Config{SegmentBytes: n.cluster.cfg.Segment}, n.disk)
	if err == nil {
		n.store = s
		err = n.restore(contents)
	}
	n.noteStart(err)
	if n.Up() {
		n.life++
		n.tick(n.life)
		n.flush()
	}
}

func (n *Node) noteStart(err error) {
	n.broken = err
	if err == nil {
		return
	}
	n.replica = nil
	if !n.disk.Crashed() && !store.IsDiskFull(err) && !errors.Is(err, fdisk.ErrSync) {
		n.cluster.check.fail("start", "%s could not start: %v", n.id, err)
	}
	n.disk.Crash()
}

func (n *Node) restore(contents *store.Contents) error {
	restored, snapshot, err := quorum.Restore(contents)
	if err != nil {
		return err
	}
	if restored.Identity.Replica == "" {
		restored.Identity = quorum.Identity{Instance: n.id, Replica: n.newID()}
		n.store.Append(quorum.EncodeIdentity(n.id, restored.Identity.Replica))
		if err := n.store.Sync(); err != nil {
			return err
		}
	}
	n.identity = restored.Identity.Replica
	n.machine = newMachine(n)
	rnd := rand.New(rand.NewSource(n.cluster.rnd.Int63()))
	fresh := quorum.Nonces{Session: rnd.Uint64(), Cluster: quorum.ClusterID(fmt.Sprintf("log-%x", rnd.Uint64()))}
	n.replica, err = quorum.NewReplica(n.cfg, n.local(), restored, snapshot, n.machine, fresh, rnd)
	return err
}

func (n *Node) newID() quorum.ReplicaID {
	return quorum.ReplicaID(fmt.Sprintf("%s-%x", n.id, n.cluster.rnd.Uint64()))
}

// Crash stops the instance and loses what its disk had not synced.
func (n *Node) Crash() {
	if !n.Up() {
		return
	}
	n.changing = n.Status().ChangePending
	n.replica = nil
	n.writing = false
	n.life++
	n.disk.Crash()
}

// Propose proposes a command that no other proposal shares.
func (n *Node) Propose() {
	n.ProposeWith(nil)
}

// ProposeWith proposes a command of its own and calls done, if any, with the outcome.
func (n *Node) ProposeWith(done func(error)) {
	if !n.Up() {
		return
	}
	command := n.cluster.check.propose()
	n.replica.Propose(n.local(), []byte(command), func(_ []byte, err error) {
		n.cluster.check.proposed(command, err)
		if done != nil {
			done(err)
		}
	})
	n.flush()
}

// ReadBarrier reads through a quorum and checks what the read sees; done, if any, gets the outcome.
func (n *Node) ReadBarrier(done func(error)) {
	if !n.Up() {
		return
	}
	before := n.cluster.check.accepted
	machine := n.machine
	n.replica.ReadBarrier(n.local(), func(err error) {
		if err == nil {
			n.cluster.check.read(n, machine, before)
		}
		if done != nil {
			done(err)
		}
	})
	n.flush()
}

// Change proposes a membership change; done, if any, gets the outcome.
func (n *Node) Change(change quorum.MemberChange, done func(error)) {
	if !n.Up() {
		return
	}
	n.cluster.changedAt = n.cluster.now
	n.replica.ChangeMembers(n.local(), change, func(err error) {
		if done != nil {
			done(err)
		}
	})
	n.flush()
}

// Snapshot asks for a snapshot of what is applied.
func (n *Node) Snapshot() {
	if !n.Up() {
		return
	}
	n.replica.RequestSnapshot()
	n.flush()
}

// HandOver asks another replica to lead, if this one does.
func (n *Node) HandOver() {
	if n.Up() {
		n.replica.TransferLeader(n.local())
		n.flush()
	}
}

// LogSize returns the bytes on the disk.
func (n *Node) LogSize() (int64, error) { return n.store.Size() }

func (n *Node) tick(life int) {
	if n.life != life || !n.Up() {
		return
	}
	n.replica.Tick(n.local())
	n.flush()
	n.cluster.check.leases(n.cluster)
	n.cluster.after(n.cfg.TickInterval, func() { n.tick(life) })
}

func (n *Node) receive(m *cleat.PeerMessage) {
	if !n.Up() {
		return
	}
	if err := n.replica.Receive(n.local(), m); err != nil {
		n.cluster.check.fail("receive", "%v", err)
	}
	n.flush()
}

// flush sends what the replica wants sent and begins to write what it wants written.
func (n *Node) flush() {
	for _, e := range n.replica.TakeOutbox() {
		n.cluster.send(n, e)
	}
	n.snapshot()
	if n.writing {
		return
	}
	b := n.replica.NextBatch()
	if b == nil {
		return
	}
	n.writing = true
	n.write(b, n.cluster.cfg.SyncDelay)
}

// snapshot takes one if it is due; that takes some time.
func (n *Node) snapshot() {
	if !n.replica.SnapshotDue() {
		return
	}
	n.replica.BeginSnapshot()
	life := n.life
	n.cluster.after(snapshotTime, func() {
		if n.life == life {
			data, err := n.machine.Snapshot()
			n.replica.EndSnapshot(n.local(), data, err)
			n.flush()
		}
	})
}

func (n *Node) write(b *quorum.Batch, delay time.Duration) {
	life := n.life
	n.cluster.after(delay, func() {
		if n.life == life {
			n.written(b)
		}
	})
}

func (n *Node) written(b *quorum.Batch) {
	err := b.Write(n.store)
	if n.disk.Crashed() {
		n.Crash()
		return
	}
	if err != nil {
		n.replica.HandleDiskFailure(n.local())
		n.write(b, diskRetry)
		n.flush()
		return
	}
	n.writing = false
	n.replica.BatchSynced(n.local(), b)
	n.flush()
}
