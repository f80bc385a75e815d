// Package fdisk is an in-memory cleat.Disk with fault injection, for tests of
// code that must survive crashes and disk errors.
//
// A crash keeps all synced data. Of the unsynced data it keeps a random part: a
// torn tail with zeroed sectors, and any subset of the folder operations. After a
// failed sync, the affected pages are lost at the next crash, although reads before
// the crash still return them.
package fdisk
