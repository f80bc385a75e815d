// Package member holds which instances live, as soft state of one control
// instance: heartbeats, suspicion before death, what the other control
// instances know, and the changes to pass on. Everything is rebuilt by one
// round of heartbeats after a restart.
package member
