// Package telem holds what every daemon needs besides its role: common flags, the
// logger, metrics with the Prometheus endpoint, health endpoints, and the lifecycle
// of the process from start through graceful shutdown to exit.
//
// Locking: each type has at most one mutex and calls no other type of
// this package while holding it.
package telem
