// Package member implements the membership of the fleet. Each control instance keeps
// a Table, which detects failures from missed heartbeats, merges the members known to
// other control instances and yields the changes to send; nodes keep a View of it.
// The table is soft state that one round of heartbeats rebuilds after a restart.
package member
