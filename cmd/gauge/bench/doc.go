// Package bench simulates entries, agents and control instances on virtual time.
// It runs the fleet's real policy code over simulated links and engines, with
// injected faults, and measures the fairness gap, utilisation and control traffic.
// A central oracle and simple baselines run on the same arrivals for comparison.
// gauge policy, gauge cost and gauge soak call it.
package bench
