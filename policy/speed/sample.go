package speed

import "time"

// The reference engine. Its speed cancels out; its proportions say how much of the time each
// prompt token and each step takes.
const (
	referenceRate      = 80.0 // Prompt tokens read in a millisecond.
	referenceStep      = 3.2  // Milliseconds of a step of the batch.
	referenceStepOfJob = 0.11 // Milliseconds of a step for each running request.
)

// Stretch is a part of a stream. An engine makes a step of its batch for each token of the
// stream and reads prompts between the steps, so that the time shows its speed however long
// its queue is: unlike the time to a first event, for which entries would have to know
// what the others have just sent.
type Stretch struct {
	Tokens  int           // Of the stream.
	Prefill float64       // Prompt tokens that the upstream is sent in a millisecond.
	Running int           // Requests there.
	Elapsed time.Duration // From the last event before the stretch to its last one.
}

// Add records a stretch of an own stream.
func (e *Estimate) Add(now time.Time, s Stretch) {
	ms := float64(s.Elapsed) / float64(time.Millisecond)
	if ms <= 0 || s.Tokens <= 0 {
		return
	}
	steps := float64(s.Tokens) * (referenceStep + referenceStepOfJob*float64(max(s.Running, 1)))
	e.addSample(now, steps/ms+s.Prefill/referenceRate, ms/1000)
}
