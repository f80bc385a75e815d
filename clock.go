package cleat

import "time"

// Clock returns the current time. Only the code that performs I/O holds a Clock;
// decision code receives the time as an argument.
type Clock interface {
	Now() time.Time
}

// SystemClock is the Clock of the operating system.
type SystemClock struct{}

// Now returns the current system time.
func (SystemClock) Now() time.Time {
	return time.Now()
}
