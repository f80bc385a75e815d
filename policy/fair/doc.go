// Package fair implements fair ordering of workspaces by the service they received
// in proportion to their share: an indexed heap for selection, the credit by which a
// class may run ahead of other workspaces, and the resulting bound on the gap in
// service between workspaces. The queue and slots packages use it.
package fair
