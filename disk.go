package cleat

import "io"

// Disk is a data folder. Writes are durable only after a sync.
type Disk interface {
	// Create creates an empty file and opens it for appending.
	Create(name string) (File, error)
	// Open opens an existing file for appending.
	Open(name string) (File, error)
	// Read opens an existing file for reading.
	Read(name string) (io.ReadCloser, error)
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// Rename renames oldName to newName, replacing it; it is durable after SyncFolder.
	Rename(oldName, newName string) error
	// Remove deletes a file; it is durable after SyncFolder.
	Remove(name string) error
	// SyncFolder makes creations, renames and removals durable.
	SyncFolder() error
	// Lock locks the folder against other processes until release is called.
	Lock() (release func() error, err error)
}

// File is an append-only file.
type File interface {
	io.Writer
	// Sync makes all earlier writes durable.
	Sync() error
	// Truncate shortens the file to size bytes.
	Truncate(size int64) error
	// Close closes the file without syncing it.
	Close() error
}
