// Package assert reports violated invariants of decision logic. Each violation is
// counted and passed to a hook, which logs it in daemons and fails the test in tests.
package assert
