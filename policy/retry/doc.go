// Package retry is the retry budget of one workspace at an entry; package queue
// keeps one for each workspace.
package retry
