// Package cleat defines the domain types of the marigoldcleat router fleet, the
// messages its processes exchange, and the interfaces between its packages.
// Most other packages of the module import it; implementations live in the
// packages below it.
package cleat
