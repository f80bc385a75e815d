// Package assert checks the invariants of deciding code: a violation is
// counted and handed to a hook, which logs it in daemons and is fatal in tests.
package assert
