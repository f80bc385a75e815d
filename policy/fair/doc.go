// Package fair orders workspaces by the service that they received for their
// share: an indexed heap for picking, the credit that a class may draw between
// workspaces, and the bound on the gap that follows from both.
package fair
