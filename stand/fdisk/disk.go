package fdisk

import (
	"bytes"
	"io"
	"math/rand"
	"os"
	"sort"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat"
)

// sectorBytes is the unit in which a crash zeroes parts of a torn tail.
const sectorBytes = 64

// ErrCrashed is returned by operations after the crash point set by CrashAt, until Crash is called.
var ErrCrashed = trace.ConnectionProblem(nil, "fdisk: the machine has crashed")

// ErrSync is returned by a sync that was made to fail with FailSyncs.
var ErrSync = trace.ConnectionProblem(nil, "fdisk: sync failed")

type folderOp struct {
	name    string // The created file, the new name of a renamed one, or the removed file when inode is nil.
	oldName string // Set for a rename.
	inode   *inode
}

type span struct{ from, to int }

type inode struct {
	data      []byte // Contents as reads return them.
	synced    []byte // Contents that a crash keeps.
	lostSpans []span // Zeroed at a crash because a sync failed.
}

// Disk is a fake disk, safe for concurrent use.
type Disk struct {
	mu               sync.Mutex
	rnd              *rand.Rand
	files            map[string]*inode
	syncedFiles      map[string]*inode
	unsyncedOps      []folderOp
	locked           bool
	opCount          int
	crashAtOp        int
	crashed          bool
	syncFailuresLeft int
	capacityBytes    int
	syncDelay        time.Duration
}

// New returns an empty disk that uses rnd to choose which unsynced data a crash loses.
func New(rnd *rand.Rand) *Disk {
	return &Disk{rnd: rnd, files: map[string]*inode{}, syncedFiles: map[string]*inode{}}
}

// CrashAt lets n more modifying operations proceed and crashes the disk at the one after; 0 cancels it.
// Creations, writes, truncations, renames, removals and syncs are modifying operations.
func (d *Disk) CrashAt(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opCount = 0
	d.crashAtOp = n
}

// OpCount returns the number of modifying operations since the last CrashAt.
func (d *Disk) OpCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.opCount
}

// Crashed reports whether the crash point was reached.
func (d *Disk) Crashed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashed
}

// FailSyncs makes the next n syncs of files or the folder fail.
func (d *Disk) FailSyncs(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncFailuresLeft = n
}

// SetCapacity limits the total size of all files to n bytes; 0 removes the limit.
func (d *Disk) SetCapacity(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.capacityBytes = n
}

// SetSyncDelay makes every sync of a file or the folder sleep for delay, in real time.
func (d *Disk) SetSyncDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncDelay = delay
}

// Corrupt flips one bit of the byte at offset, in the synced contents too.
func (d *Disk) Corrupt(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	f.data = bytes.Clone(f.data)
	f.data[offset] ^= 1
	f.synced = bytes.Clone(f.synced)
	if offset < len(f.synced) {
		f.synced[offset] ^= 1
	}
}

// Crash discards a random part of the unsynced data and makes the disk usable again.
func (d *Disk) Crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashFolder()
	for _, name := range sortedNames(d.files) {
		d.files[name].crash(d.rnd)
	}
	d.locked = false
	d.crashed = false
	d.crashAtOp = 0
	d.syncFailuresLeft = 0
}

// Create makes an empty file and opens it for appending.
func (d *Disk) Create(name string) (cleat.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countOp(); err != nil {
		return nil, err
	}
	f := &inode{}
	d.files[name] = f
	d.unsyncedOps = append(d.unsyncedOps, folderOp{name: name, inode: f})
	return &file{disk: d, inode: f}, nil
}

// Open opens an existing file for appending.
func (d *Disk) Open(name string) (cleat.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := d.lookUp(name)
	if err != nil {
		return nil, err
	}
	return &file{disk: d, inode: f}, nil
}

// Read opens an existing file for reading.
func (d *Disk) Read(name string) (io.ReadCloser, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := d.lookUp(name)
	if err != nil {
		return nil, err
	}
	return io.NopCloser(bytes.NewReader(bytes.Clone(f.data))), nil
}

// List returns the names of all files, sorted.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return nil, ErrCrashed
	}
	return sortedNames(d.files), nil
}

// Rename renames oldName to newName, replacing it; the change is durable after SyncFolder.
func (d *Disk) Rename(oldName, newName string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := d.lookUp(oldName)
	if err != nil {
		return err
	}
	if err := d.countOp(); err != nil {
		return err
	}
	delete(d.files, oldName)
	d.files[newName] = f
	d.unsyncedOps = append(d.unsyncedOps, folderOp{name: newName, oldName: oldName, inode: f})
	return nil
}

// Remove deletes a file; the change is durable after SyncFolder.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.lookUp(name); err != nil {
		return err
	}
	if err := d.countOp(); err != nil {
		return err
	}
	delete(d.files, name)
	d.unsyncedOps = append(d.unsyncedOps, folderOp{name: name})
	return nil
}

// SyncFolder makes creations, renames and removals durable.
func (d *Disk) SyncFolder() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.simulateSync(); err != nil {
		return err
	}
	for _, op := range d.unsyncedOps {
		op.apply(d.syncedFiles)
	}
	d.unsyncedOps = nil
	return nil
}

// Lock locks the disk until the returned function is called or the disk crashes; it
// returns trace.AlreadyExists when the disk is locked.
func (d *Disk) Lock() (func() error, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.locked {
		return nil, trace.AlreadyExists("Disk.Lock: another process uses the disk")
	}
	d.locked = true
	return d.unlock, nil
}

func (d *Disk) unlock() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.locked = false
	return nil
}

func (d *Disk) lookUp(name string) (*inode, error) {
	if d.crashed {
		return nil, ErrCrashed
	}
	f, ok := d.files[name]
	if !ok {
		return nil, trace.ConvertSystemError(&os.PathError{Op: "open", Path: name, Err: os.ErrNotExist})
	}
	return f, nil
}

// countOp counts a modifying operation, or returns ErrCrashed after the crash point.
func (d *Disk) countOp() error {
	if d.crashAtOp > 0 && d.opCount >= d.crashAtOp {
		d.crashed = true
	}
	if d.crashed {
		return ErrCrashed
	}
	d.opCount++
	return nil
}

// simulateSync releases d.mu while it sleeps for the sync delay, so the disk may change during it.
func (d *Disk) simulateSync() error {
	if d.syncDelay > 0 {
		d.mu.Unlock()
		time.Sleep(d.syncDelay)
		d.mu.Lock()
	}
	if err := d.countOp(); err != nil {
		return err
	}
	if d.syncFailuresLeft > 0 {
		d.syncFailuresLeft--
		return ErrSync
	}
	return nil
}

func (d *Disk) usedBytes() int {
	sum := 0
	for _, f := range d.files {
		sum += len(f.data)
	}
	return sum
}

func (d *Disk) crashFolder() {
	for _, op := range d.unsyncedOps {
		if d.rnd.Intn(2) == 0 {
			op.apply(d.syncedFiles)
		}
	}
	d.unsyncedOps = nil
	d.files = map[string]*inode{}
	for name, f := range d.syncedFiles {
		d.files[name] = f
	}
}

func (op folderOp) apply(files map[string]*inode) {
	if op.inode == nil {
		delete(files, op.name)
		return
	}
	if op.oldName != "" {
		delete(files, op.oldName)
	}
	files[op.name] = op.inode
}

func (f *inode) crash(rnd *rand.Rand) {
	// After an unsynced truncation, or a failed sync and then a good one, data no longer
	// extends synced, and only synced is kept.
	if !bytes.HasPrefix(f.data, f.synced) {
		f.data = f.synced
		return
	}
	tail := bytes.Clone(f.data[len(f.synced):])
	tail = tail[:rnd.Intn(len(tail)+1)]
	if rnd.Intn(2) == 0 {
		zeroRandomSectors(tail, rnd)
	}
	f.data = append(bytes.Clone(f.synced), tail...)
	f.zeroLostSpans()
	f.synced = f.data
}

func zeroRandomSectors(tail []byte, rnd *rand.Rand) {
	for at := 0; at < len(tail); at += sectorBytes {
		if rnd.Intn(3) == 0 {
			clear(tail[at:min(at+sectorBytes, len(tail))])
		}
	}
}

func (f *inode) zeroLostSpans() {
	for _, s := range f.lostSpans {
		clear(f.data[min(s.from, len(f.data)):min(s.to, len(f.data))])
	}
	f.lostSpans = nil
}

func sortedNames(files map[string]*inode) []string {
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
