// Command standin plays one case of the independent review: it starts the project's
// programs as separate processes on loopback addresses, with stand-ins of its own for the
// platform, the operator, the servers and the clients, and writes a record of what was
// sent, answered and run.
package main
