// Package trial runs replicas of the quorum log on virtual time, over disks and
// links that fail, and checks what must always hold: no accepted command is lost
// or applied twice, no refused one is applied, replicas never differ, one leader
// a term, no two holders of the order lease, and confirmed reads see all that was
// accepted before them. Tests and the gauge share it.
package trial
