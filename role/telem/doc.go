// Package telem holds what all daemons share around their role: common flags,
// logger, metrics with the prometheus endpoint, health endpoints, and the
// process's life from start over graceful shutdown to its exit.
//
// Locks: each type has one mutex of its own and calls nothing of another type
// while it holds it.
package telem
