package cleat

import "time"

// Clock gives the present time; only workers hold one, never deciding code.
type Clock interface {
	Now() time.Time
}

// SystemClock reads the machine's clock.
type SystemClock struct{}

// Now returns the machine's present time.
func (SystemClock) Now() time.Time {
	return time.Now()
}
