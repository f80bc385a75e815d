package store

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"sort"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"marigoldcleat.example/cleat"
)

const (
	lockName   = "lock"
	fileMode   = 0o600
	folderMode = 0o700
)

// Folder is a cleat.Disk over one folder of the operating system.
type Folder struct {
	path string
}

// NewFolder creates the folder at path when it is missing and returns it as a disk.
func NewFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "NewFolder: %s", path)
	}
	return &Folder{path: path}, nil
}

// Create creates an empty file and opens it for appending.
func (f *Folder) Create(name string) (cleat.File, error) {
	return f.open(name, os.O_CREATE|os.O_TRUNC)
}

// Open opens an existing file for appending.
func (f *Folder) Open(name string) (cleat.File, error) {
	return f.open(name, 0)
}

// Read opens an existing file for reading.
func (f *Folder) Read(name string) (io.ReadCloser, error) {
	file, err := os.Open(f.filePath(name))
	if err != nil {
		return nil, trace.Wrap(err, "Folder.Read: %s", name)
	}
	return file, nil
}

// List returns the names of all files but the lock, sorted.
func (f *Folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, trace.Wrap(err, "Folder.List: %s", f.path)
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() && e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// Rename renames oldName to newName, replacing any file of that name; it is durable after SyncFolder.
func (f *Folder) Rename(oldName, newName string) error {
	if err := os.Rename(f.filePath(oldName), f.filePath(newName)); err != nil {
		return trace.Wrap(err, "Folder.Rename: %s to %s", oldName, newName)
	}
	return nil
}

// Remove deletes a file; it is durable after SyncFolder.
func (f *Folder) Remove(name string) error {
	if err := os.Remove(f.filePath(name)); err != nil {
		return trace.Wrap(err, "Folder.Remove: %s", name)
	}
	return nil
}

// SyncFolder makes creations, renames and removals durable.
func (f *Folder) SyncFolder() error {
	dir, err := os.Open(f.path)
	if err != nil {
		return trace.Wrap(err, "Folder.SyncFolder: %s", f.path)
	}
	if err := errors.Join(dir.Sync(), dir.Close()); err != nil {
		return trace.Wrap(err, "Folder.SyncFolder: %s", f.path)
	}
	return nil
}

// Lock locks the folder against other processes until the returned function is called,
// or returns a trace.AlreadyExists error when another process holds the lock.
func (f *Folder) Lock() (func() error, error) {
	file, err := os.OpenFile(f.filePath(lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, trace.Wrap(err, "Folder.Lock: %s", f.path)
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, trace.AlreadyExists("Folder.Lock: another process uses %s: %v", f.path, err)
	}
	return file.Close, nil
}

func (f *Folder) open(name string, flags int) (cleat.File, error) {
	file, err := os.OpenFile(f.filePath(name), os.O_WRONLY|os.O_APPEND|flags, fileMode)
	if err != nil {
		return nil, trace.Wrap(err, "Folder.open: %s", name)
	}
	return file, nil
}

func (f *Folder) filePath(name string) string {
	return filepath.Join(f.path, name)
}
