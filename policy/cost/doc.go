// Package cost estimates the cost of a request from finished requests of the same
// workspace, class and model. A caller's hint is used as a feature: its systematic
// error is learnt and corrected. The queue package uses the estimates.
package cost
