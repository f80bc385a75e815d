// Package cost estimates what a request will cost from the finished requests
// of its workspace, class and model, with the caller's hint as a feature whose
// usual error is learnt and taken out.
package cost
