// Package queue holds the waiting requests of an entry. It decides which requests are
// admitted, which agents they are offered to, which request runs on a granted slot, and
// which failed requests are retried or refused.
//
// A Table does no I/O: its methods return effects. It is not safe for concurrent use;
// the entry role guards it by one lock and carries out the effects after unlocking.
package queue
