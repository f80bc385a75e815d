// Package budget is an entry's retry budget for each service: in any window, the
// retries of the whole fleet stay below a ratio of the requests plus a slack. The
// bound must also hold while entries can't reach each other, so each entry counts
// only its own requests and has a fraction of the slack. The package does no I/O
// and is not safe for concurrent use.
package budget
