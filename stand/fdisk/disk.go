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

// sectorBytes is the unit in which a torn tail is lost.
const sectorBytes = 64

// ErrCrashed is what every operation returns after the crash point.
var ErrCrashed = trace.ConnectionProblem(nil, "fdisk: the machine has crashed")

// ErrSync is what a failed sync returns.
var ErrSync = trace.ConnectionProblem(nil, "fdisk: sync failed")

type folderOp struct {
	name    string // Created, or the new name of a renamed file, or removed when inode is nil.
	oldName string // Set for a rename.
	inode   *inode
}

type span struct{ from, to int }

type inode struct {
	data   []byte // As reads see it.
	synced []byte // As a crash leaves it at least.
	lost   []span // Dropped by failed syncs.
}

// Disk is a fake disk, safe for concurrent use.
type Disk struct {
	mu        sync.Mutex
	rnd       *rand.Rand
	files     map[string]*inode
	synced    map[string]*inode
	ops       []folderOp
	locked    bool
	count     int
	crashAt   int
	crashed   bool
	failSyncs int
	capacity  int
	syncDelay time.Duration
}

// New returns an empty disk whose losses are drawn from rnd.
func New(rnd *rand.Rand) *Disk {
	return &Disk{rnd: rnd, files: map[string]*inode{}, synced: map[string]*inode{}}
}

// CrashAt makes the n-th changing operation from now on the last one carried out; 0 takes it back.
func (d *Disk) CrashAt(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.count = 0
	d.crashAt = n
}

// Ops returns the changing operations since the last CrashAt.
func (d *Disk) Ops() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.count
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
	d.failSyncs = n
}

// SetCapacity bounds the bytes of all files; 0 takes the bound back.
func (d *Disk) SetCapacity(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.capacity = n
}

// SetSyncDelay makes every sync of a file or the folder take delay of real time.
func (d *Disk) SetSyncDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncDelay = delay
}

// Corrupt flips one bit of a file, synced or not.
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

// Crash loses what was not synced and makes the disk usable again.
func (d *Disk) Crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashFolder()
	for _, name := range sortedNames(d.files) {
		d.files[name].crash(d.rnd)
	}
	d.locked = false
	d.crashed = false
	d.crashAt = 0
	d.failSyncs = 0
}

// Create makes an empty file and opens it for appending.
func (d *Disk) Create(name string) (cleat.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return nil, err
	}
	f := &inode{}
	d.files[name] = f
	d.ops = append(d.ops, folderOp{name: name, inode: f})
	return &file{disk: d, inode: f}, nil
}

// Open opens an existing file for appending.
func (d *Disk) Open(name string) (cleat.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := d.find(name)
	if err != nil {
		return nil, err
	}
	return &file{disk: d, inode: f}, nil
}

// Read opens an existing file for reading.
func (d *Disk) Read(name string) (io.ReadCloser, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := d.find(name)
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

// Rename replaces newName with oldName; it lasts after SyncFolder.
func (d *Disk) Rename(oldName, newName string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := d.find(oldName)
	if err != nil {
		return err
	}
	if err := d.step(); err != nil {
		return err
	}
	delete(d.files, oldName)
	d.files[newName] = f
	d.ops = append(d.ops, folderOp{name: newName, oldName: oldName, inode: f})
	return nil
}

// Remove deletes a file; it lasts after SyncFolder.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.find(name); err != nil {
		return err
	}
	if err := d.step(); err != nil {
		return err
	}
	delete(d.files, name)
	d.ops = append(d.ops, folderOp{name: name})
	return nil
}

// SyncFolder makes creations, renames and removals last.
func (d *Disk) SyncFolder() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.sync(); err != nil {
		return err
	}
	for _, op := range d.ops {
		op.apply(d.synced)
	}
	d.ops = nil
	return nil
}

// Lock keeps other users out until released or until a crash.
func (d *Disk) Lock() (func() error, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.locked {
		return nil, trace.AlreadyExists("Disk.Lock: another process uses the disk")
	}
	d.locked = true
	return d.release, nil
}

func (d *Disk) release() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.locked = false
	return nil
}

func (d *Disk) find(name string) (*inode, error) {
	if d.crashed {
		return nil, ErrCrashed
	}
	f, ok := d.files[name]
	if !ok {
		return nil, trace.ConvertSystemError(&os.PathError{Op: "open", Path: name, Err: os.ErrNotExist})
	}
	return f, nil
}

// step counts a changing operation and reports whether it comes too late.
func (d *Disk) step() error {
	if d.crashAt > 0 && d.count >= d.crashAt {
		d.crashed = true
	}
	if d.crashed {
		return ErrCrashed
	}
	d.count++
	return nil
}

func (d *Disk) sync() error {
	if d.syncDelay > 0 {
		d.mu.Unlock()
		time.Sleep(d.syncDelay)
		d.mu.Lock()
	}
	if err := d.step(); err != nil {
		return err
	}
	if d.failSyncs > 0 {
		d.failSyncs--
		return ErrSync
	}
	return nil
}

func (d *Disk) used() int {
	sum := 0
	for _, f := range d.files {
		sum += len(f.data)
	}
	return sum
}

func (d *Disk) crashFolder() {
	for _, op := range d.ops {
		if d.rnd.Intn(2) == 0 {
			op.apply(d.synced)
		}
	}
	d.ops = nil
	d.files = map[string]*inode{}
	for name, f := range d.synced {
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
	if !bytes.HasPrefix(f.data, f.synced) {
		f.data = f.synced
		return
	}
	tail := bytes.Clone(f.data[len(f.synced):])
	tail = tail[:rnd.Intn(len(tail)+1)]
	if rnd.Intn(2) == 0 {
		tear(tail, rnd)
	}
	f.data = append(bytes.Clone(f.synced), tail...)
	f.dropLost()
	f.synced = f.data
}

func tear(tail []byte, rnd *rand.Rand) {
	for at := 0; at < len(tail); at += sectorBytes {
		if rnd.Intn(3) == 0 {
			clear(tail[at:min(at+sectorBytes, len(tail))])
		}
	}
}

func (f *inode) dropLost() {
	for _, s := range f.lost {
		clear(f.data[min(s.from, len(f.data)):min(s.to, len(f.data))])
	}
	f.lost = nil
}

func sortedNames(files map[string]*inode) []string {
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
