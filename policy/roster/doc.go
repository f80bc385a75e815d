// Package roster keeps the last announcement of each upstream, for control instances
// and entries.
//
// Announcements may arrive late, out of order and more than once, and an address may
// be reused by another upstream. A later incarnation supersedes an earlier one, and
// within an incarnation the higher sequence number wins. An address belongs to the
// upstream that started last. The table is not safe for concurrent use.
package roster
