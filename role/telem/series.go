package telem

import (
	"time"

	"github.com/uber-go/tally/v4"

	"marigoldcleat.example/cleat"
)

// Buckets of the histograms: durations from 1 ms to about 17 min, costs from 1 to about 4 million units.
const (
	firstDurationBucket = time.Millisecond
	firstCostBucket     = 1.0
	bucketFactor        = 4.0
	durationBuckets     = 11
	costBuckets         = 12
)

// Series holds the histograms of one workspace and class.
type Series struct {
	wait       tally.Histogram
	firstToken tally.Histogram
	totalTime  tally.Histogram
	cost       tally.Histogram
}

func newSeries(scope tally.Scope) *Series {
	durations := tally.MustMakeExponentialDurationBuckets(firstDurationBucket, bucketFactor, durationBuckets)
	costs := tally.MustMakeExponentialValueBuckets(firstCostBucket, bucketFactor, costBuckets)
	return &Series{
		wait:       scope.Histogram("wait_seconds", durations),
		firstToken: scope.Histogram("first_token_seconds", durations),
		totalTime:  scope.Histogram("whole_seconds", durations),
		cost:       scope.Histogram("cost_units", costs),
	}
}

// Wait records how long a request waited before it was dispatched.
func (s *Series) Wait(d time.Duration) { s.wait.RecordDuration(d) }

// FirstToken records the time from receipt of a request to the first byte of its response.
func (s *Series) FirstToken(d time.Duration) { s.firstToken.RecordDuration(d) }

// TotalTime records the time from receipt of a request to the end of its response.
func (s *Series) TotalTime(d time.Duration) { s.totalTime.RecordDuration(d) }

// Cost records the cost of a request, in cost units.
func (s *Series) Cost(c cleat.Cost) { s.cost.RecordValue(float64(c)) }
