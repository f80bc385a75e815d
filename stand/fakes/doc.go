// Package fakes holds stand-ins at the interfaces: a model engine and a plain
// service that serve real HTTP on loopback and announce themselves to an agent,
// and a relay that cuts, silences or slows the connections through it.
//
// Each type has one mutex and calls nothing of another type while it holds it.
package fakes
