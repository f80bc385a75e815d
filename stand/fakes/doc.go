// Package fakes holds stand-in upstreams for tests and demos: a model engine and
// a plain service that serve real HTTP on loopback and announce themselves to an
// agent, and a TCP relay that injects faults: it closes, black-holes or delays
// connections.
//
// Each type has one mutex. The only mutex that is locked while another is held is
// that of server, which Engine locks while it holds its own.
package fakes
