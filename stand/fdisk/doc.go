// Package fdisk is a cleat.Disk in memory that fails the way disks do.
//
// A crash keeps what was synced; of the rest it keeps a part that its random
// source chooses: a torn tail with holes, and any subset of the folder's
// operations. A failed sync loses the pages it was for, although reads before
// the crash still see them.
package fdisk
