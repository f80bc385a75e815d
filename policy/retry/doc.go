// Package retry bounds how many retries a workspace may cause.
package retry
