// Package queue decides at an entry: which requests wait, which agents they
// are offered to, which request a grant is used for, what is tried again and
// what is refused.
//
// A Table is not safe for concurrent use; the role holds one lock over it and
// carries out the effects after releasing it.
package queue
