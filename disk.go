package cleat

import "io"

// Disk is a data folder; what is written lasts only once it is synced.
type Disk interface {
	// Create makes an empty file and opens it for appending.
	Create(name string) (File, error)
	// Open opens an existing file for appending.
	Open(name string) (File, error)
	// Read opens an existing file for reading.
	Read(name string) (io.ReadCloser, error)
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// Rename replaces newName with oldName; it lasts after SyncFolder.
	Rename(oldName, newName string) error
	// Remove deletes a file; it lasts after SyncFolder.
	Remove(name string) error
	// SyncFolder makes creations, renames and removals last.
	SyncFolder() error
	// Lock keeps other processes out of the folder until released.
	Lock() (release func() error, err error)
}

// File is an append-only file.
type File interface {
	io.Writer
	// Sync makes all that was written last.
	Sync() error
	// Truncate cuts the file to size bytes.
	Truncate(size int64) error
	// Close closes the file without syncing it.
	Close() error
}
