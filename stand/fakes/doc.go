// Package fakes holds stand-in upstreams for tests and demos: a model engine and
// a plain service that serve real HTTP on loopback and announce themselves to an
// agent, and a TCP relay that injects faults: it closes, black-holes or delays
// connections.
//
// Engine, Plain, Relay and server have one mutex each. Engine locks the mutex of its
// server while it holds its own; no other two are held together.
package fakes
