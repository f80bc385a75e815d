// Package admin is the operators' API of the control instances: the documents
// that cross it and a client that fails over between instances.
package admin
