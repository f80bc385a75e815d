// Package cost estimates the cost of a request from finished requests of the same
// workspace, class and model. A caller's hint is used as a feature: its systematic
// error is learnt and corrected. An Estimator predicts cost units for the queue package;
// an OutputEstimator predicts the distribution of a stream's output tokens for the
// place package.
package cost
