// Package bench drives the fleet's deciding code on virtual time, with small
// fakes of links and engines, and measures the fairness gap, utilisation and
// control traffic against an all-seeing queue and simple baselines.
package bench
