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
	diskRetryInterval = 200 * time.Millisecond
	snapshotDuration  = 7 * time.Millisecond
	// clockStart is far from zero so that clocks can be set back.
	clockStart = 1_000_000 * time.Hour
)

// Node is one instance of a cluster.
type Node struct {
	cluster     *Cluster
	index       int
	id          cleat.InstanceID
	cfg         quorum.Config
	disk        *fdisk.Disk
	store       *store.Store
	replica     *quorum.Replica // Nil while the instance is down.
	machine     *machine
	incarnation int   // Changes at each start and crash, so that events scheduled before are ignored.
	startErr    error // Why the last start failed, or nil.

	clockBase   time.Duration // Local time since the Unix epoch at clockSetAt.
	clockRate   float64       // Local time that passes per virtual time.
	clockSetAt  time.Duration // Virtual time when clockBase and clockRate were set.
	smallJumpAt time.Duration // Virtual time of the last small clock jump.
	isWriting   bool

	replicaID     quorum.ReplicaID // Replica ID on the disk; empty after a wipe.
	changePending bool             // A membership change was pending at the last crash.
}

func newNode(c *Cluster, index int, id cleat.InstanceID, initial, all []cleat.InstanceID) *Node {
	n := &Node{cluster: c, index: index, id: id, cfg: c.cfg.Quorum, clockRate: 1, clockBase: clockStart}
	n.cfg.Self = id
	n.cfg.Peers = all
	if index < len(initial) {
		n.cfg.InitialInstances = initial
	}
	n.cfg.Defaults()
	n.Wipe()
	return n
}

// ID returns the id of the instance.
func (n *Node) ID() cleat.InstanceID { return n.id }

// Disk returns the disk of the instance.
func (n *Node) Disk() *fdisk.Disk { return n.disk }

// Up returns whether the instance is running.
func (n *Node) Up() bool { return n.replica != nil }

// Err returns the error of the last start, or nil.
func (n *Node) Err() error { return n.startErr }

// String returns the state of the instance in one line.
func (n *Node) String() string {
	if !n.Up() {
		return fmt.Sprintf("%s down: %v", n.id, n.startErr)
	}
	s := n.Status()
	return fmt.Sprintf("%s %s of %q term %d leader %s log %d commit %d applied %d members %v candidates %v",
		s.Replica, s.Role, s.Cluster, s.Term, s.Leader, s.LastIndex, s.Commit, s.Applied, s.Members, s.JoinCandidates)
}

// Status returns the status of the replica; the instance must be up.
func (n *Node) Status() quorum.Status { return n.replica.Status(n.localTime()) }

// Wipe gives an instance that is down a new, empty disk.
func (n *Node) Wipe() {
	n.replicaID = ""
	n.disk = fdisk.New(rand.New(rand.NewSource(n.cluster.rnd.Int63())))
}

// SetClock moves the local clock by jump and makes it run at rate times virtual time.
func (n *Node) SetClock(jump time.Duration, rate float64) {
	n.clockBase = time.Duration(n.localTime().UnixNano()) + jump
	n.clockSetAt = n.cluster.now
	n.clockRate = rate
}

func (n *Node) localTime() time.Time {
	elapsed := float64(n.cluster.now-n.clockSetAt) * n.clockRate
	return time.Unix(0, int64(n.clockBase)+int64(elapsed))
}

// Start opens the store and starts the replica; an injected disk fault may make
// that fail.
func (n *Node) Start() {
	if n.Up() {
		return
	}
	n.isWriting = false
	s, contents, err := store.Open(store.Config{SegmentBytes: n.cluster.cfg.SegmentBytes}, n.disk)
	if err == nil {
		n.store = s
		err = n.restore(contents)
	}
	n.recordStart(err)
	if n.Up() {
		n.incarnation++
		n.tick(n.incarnation)
		n.flush()
	}
}

func (n *Node) recordStart(err error) {
	n.startErr = err
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
		restored.Identity = quorum.Identity{Instance: n.id, Replica: n.newReplicaID()}
		n.store.Append(quorum.EncodeIdentity(n.id, restored.Identity.Replica))
		if err := n.store.Sync(); err != nil {
			return err
		}
	}
	n.replicaID = restored.Identity.Replica
	n.machine = newMachine(n)
	rnd := rand.New(rand.NewSource(n.cluster.rnd.Int63()))
	nonces := quorum.Nonces{Session: rnd.Uint64(), Cluster: quorum.ClusterID(fmt.Sprintf("log-%x", rnd.Uint64()))}
	n.replica, err = quorum.NewReplica(n.cfg, n.localTime(), restored, snapshot, n.machine, nonces, rnd)
	return err
}

func (n *Node) newReplicaID() quorum.ReplicaID {
	return quorum.ReplicaID(fmt.Sprintf("%s-%x", n.id, n.cluster.rnd.Uint64()))
}

// Crash stops the instance; its disk loses a random part of the unsynced data.
func (n *Node) Crash() {
	if !n.Up() {
		return
	}
	n.changePending = n.Status().ChangePending
	n.replica = nil
	n.isWriting = false
	n.incarnation++
	n.disk.Crash()
}

// Propose proposes a unique command.
func (n *Node) Propose() {
	n.ProposeWith(nil)
}

// ProposeWith proposes a unique command and calls done, unless nil, with the outcome.
func (n *Node) ProposeWith(done func(error)) {
	if !n.Up() {
		return
	}
	command := n.cluster.check.newCommand()
	n.replica.Propose(n.localTime(), []byte(command), func(_ []byte, err error) {
		n.cluster.check.recordOutcome(command, err)
		if done != nil {
			done(err)
		}
	})
	n.flush()
}

// ReadBarrier confirms a read by a quorum and checks that it sees all commands
// accepted before it started; done, unless nil, is called with the outcome.
func (n *Node) ReadBarrier(done func(error)) {
	if !n.Up() {
		return
	}
	before := n.cluster.check.accepted
	machine := n.machine
	n.replica.ReadBarrier(n.localTime(), func(err error) {
		if err == nil {
			n.cluster.check.checkContains(n, machine, before)
		}
		if done != nil {
			done(err)
		}
	})
	n.flush()
}

// ChangeMembers proposes a membership change; done, unless nil, is called with the outcome.
func (n *Node) ChangeMembers(change quorum.MemberChange, done func(error)) {
	if !n.Up() {
		return
	}
	n.cluster.changeProposedAt = n.cluster.now
	n.replica.ChangeMembers(n.localTime(), change, func(err error) {
		if done != nil {
			done(err)
		}
	})
	n.flush()
}

// Snapshot requests a snapshot of the applied state.
func (n *Node) Snapshot() {
	if !n.Up() {
		return
	}
	n.replica.RequestSnapshot()
	n.flush()
}

// TransferLeader transfers leadership to another replica if this one leads.
func (n *Node) TransferLeader() {
	if n.Up() {
		n.replica.TransferLeader(n.localTime())
		n.flush()
	}
}

// LogSize returns the size of the log store in bytes.
func (n *Node) LogSize() (int64, error) { return n.store.Size() }

func (n *Node) tick(incarnation int) {
	if n.incarnation != incarnation || !n.Up() {
		return
	}
	n.replica.Tick(n.localTime())
	n.flush()
	n.cluster.check.checkLeases(n.cluster)
	n.cluster.schedule(n.cfg.TickInterval, func() { n.tick(incarnation) })
}

func (n *Node) receive(m *cleat.PeerMessage) {
	if !n.Up() {
		return
	}
	if err := n.replica.Receive(n.localTime(), m); err != nil {
		n.cluster.check.fail("receive", "%v", err)
	}
	n.flush()
}

// flush sends the messages in the replica's outbox, takes a snapshot if one is due,
// and starts to write the next batch unless a write is in flight.
func (n *Node) flush() {
	for _, e := range n.replica.TakeOutbox() {
		n.cluster.send(n, e)
	}
	n.snapshotIfDue()
	if n.isWriting {
		return
	}
	b := n.replica.NextBatch()
	if b == nil {
		return
	}
	n.isWriting = true
	n.scheduleWrite(b, n.cluster.cfg.SyncDelay)
}

// snapshotIfDue starts a snapshot if one is due; it is complete after snapshotDuration.
func (n *Node) snapshotIfDue() {
	if !n.replica.SnapshotDue() {
		return
	}
	n.replica.BeginSnapshot()
	incarnation := n.incarnation
	n.cluster.schedule(snapshotDuration, func() {
		if n.incarnation == incarnation {
			data, err := n.machine.Snapshot()
			n.replica.EndSnapshot(n.localTime(), data, err)
			n.flush()
		}
	})
}

func (n *Node) scheduleWrite(b *quorum.Batch, delay time.Duration) {
	incarnation := n.incarnation
	n.cluster.schedule(delay, func() {
		if n.incarnation == incarnation {
			n.completeWrite(b)
		}
	})
}

func (n *Node) completeWrite(b *quorum.Batch) {
	err := b.Write(n.store)
	if n.disk.Crashed() {
		n.Crash()
		return
	}
	if err != nil {
		n.replica.HandleDiskFailure(n.localTime())
		n.scheduleWrite(b, diskRetryInterval)
		n.flush()
		return
	}
	n.isWriting = false
	n.replica.BatchSynced(n.localTime(), b)
	n.flush()
}
