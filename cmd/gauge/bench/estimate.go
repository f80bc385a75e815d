package bench

func newEstimator() estimator { return newEWMA() }
