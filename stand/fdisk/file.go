package fdisk

import (
	"bytes"

	"golang.org/x/sys/unix"
)

// file is an open file of a Disk.
type file struct {
	disk  *Disk
	inode *inode
}

// Write appends p; on a full disk it writes what fits and returns ENOSPC.
func (f *file) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.disk.countOp(); err != nil {
		return 0, err
	}
	n := len(p)
	if f.disk.capacityBytes > 0 {
		n = max(min(n, f.disk.capacityBytes-f.disk.usedBytes()), 0)
	}
	f.inode.data = append(f.inode.data, p[:n]...)
	if n < len(p) {
		return n, unix.ENOSPC
	}
	return n, nil
}

// Sync makes all written data durable; if it fails, the data written since the last
// successful sync is lost at the next crash, even if a later sync succeeds.
func (f *file) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	// simulateSync releases the lock; data that is written in the meantime is not synced.
	size := len(f.inode.data)
	if err := f.disk.simulateSync(); err != nil {
		f.inode.lostSpans = append(f.inode.lostSpans, span{from: len(f.inode.synced), to: size})
		return err
	}
	f.inode.synced = bytes.Clone(f.inode.data[:size])
	for _, s := range f.inode.lostSpans {
		clear(f.inode.synced[min(s.from, size):min(s.to, size)])
	}
	return nil
}

// Truncate shortens the file to size bytes.
func (f *file) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.disk.countOp(); err != nil {
		return err
	}
	f.inode.data = bytes.Clone(f.inode.data[:size])
	return nil
}

// Close closes the file without syncing it.
func (f *file) Close() error {
	return nil
}
