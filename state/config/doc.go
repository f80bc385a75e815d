// Package config holds the operators' settings: a tree of documents under
// paths, the changes to it as deterministic replicated state, and the decoded
// form that nodes serve from.
package config
