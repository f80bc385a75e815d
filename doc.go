// Package cleat holds the domain types of the marigoldcleat router fleet, the
// messages its processes exchange, and the interfaces of everything that
// varies; implementations live in the packages below it.
package cleat
