// Package admin holds the operators' HTTP API of the control instances: its request
// and response types, and a client that fails over between instances. The control
// instances serve it, and the command-line tools call it.
package admin
