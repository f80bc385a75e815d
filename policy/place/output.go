package place

import (
	"math"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/cost"
)

const (
	// batchStepMillis is the time that one running request adds to each decoding step
	// of an engine, in milliseconds. Engines that were measured take 0.10 to 0.12.
	batchStepMillis = 0.11
	// prefillChunkTokens is how many prompt tokens an engine prefills between two
	// decoding steps. Engines that were measured take 2,048 to 4,096.
	prefillChunkTokens = 3000
	// outputScale is how many more output tokens still to come than the mean make an
	// engine cost the time that the job takes there once more. In the model of gauge
	// placement, less spreads requests away from their cached prefix blocks at low load,
	// and more leaves engines full of long answers at high load.
	outputScale = 20_000
	// maxOutputExcess bounds that cost, as a multiple of the job's time.
	maxOutputExcess = 1
	// outputRefresh is how often the expected output of running jobs is computed again
	// from what they have generated.
	outputRefresh = 250 * time.Millisecond
	// outputMeanInterval is how long the means over a service's engines are reused.
	outputMeanInterval = 50 * time.Millisecond
	// memoryDeviations is how many standard deviations of its jobs' output an entry
	// adds to the memory that they are expected to take: one case in ten exceeds it.
	memoryDeviations = 1.28
)

// jobOutput is the output of a job, as far as it is known.
type jobOutput struct {
	dist      cost.Output
	estimated bool
	produced  int         // Tokens, in all attempts.
	remaining float64     // Expected tokens still to come, as counted at the upstream.
	variance  float64     // Of remaining.
	mean      *outputMean // Of the service's engines; nil when output doesn't count.
}

// outputLoad is the output still to come of this entry's jobs at an upstream.
type outputLoad struct {
	remaining   float64 // Expected tokens.
	variance    float64
	reserve     int // Tokens of memory kept for jobs that outlive their estimate; see memoryDeviations.
	refreshedAt time.Time
}

func (l *outputLoad) setReserve() {
	l.reserve = int(memoryDeviations * math.Sqrt(max(0, l.variance)))
}

// outputMean holds the means over the engines of a service.
type outputMean struct {
	at      time.Time
	running float64 // Requests.
	tokens  float64 // Output still to come.
}

// estimateOutput estimates a job's output before it is placed, and the means with which
// the engines are compared.
func (p *Planner) estimateOutput(now time.Time, j *Job) {
	j.output.mean = nil
	if p.cfg.Outputs == nil || p.engines[j.Service] == nil {
		return
	}
	j.output.mean = p.outputMeanOf(now, j.Service)
	if !j.output.estimated {
		j.output.estimated = true
		j.output.dist = p.cfg.Outputs.Estimate(cost.OutputKey{Workspace: j.Workspace, Route: j.Route}, j.Hint)
		j.output.remaining, j.output.variance = j.output.dist.Remaining(0)
	}
}

// outputMeanOf returns the means over a service's ready engines, which are computed
// again after outputMeanInterval.
func (p *Planner) outputMeanOf(now time.Time, s cleat.ServiceName) *outputMean {
	m, ok := p.outputMeans[s]
	if !ok {
		m = &outputMean{}
		p.outputMeans[s] = m
	}
	if now.Sub(m.at) < outputMeanInterval {
		return m
	}
	*m = outputMean{at: now}
	n := 0.0
	for _, u := range p.services[s] {
		if u.record.Phase == cleat.UpstreamReady {
			m.running += float64(u.running())
			m.tokens += u.outputTokens()
			n++
		}
	}
	if n > 0 {
		m.running /= n
		m.tokens /= n
	}
	return m
}

// outputTokens returns the expected output still to come of all entries' jobs.
func (u *upstream) outputTokens() float64 { return u.output.remaining + float64(u.peers.output) }

// decodeDelay returns by how much the decoding steps between the chunks of the prefill
// take longer, or less long, than at an engine that runs as many requests as the mean:
// the prefill rate was learnt with those.
func (u *upstream) decodeDelay(j *Job, prefill int) time.Duration {
	if j.output.mean == nil {
		return 0
	}
	chunks := float64(u.backlog()+prefill) / prefillChunkTokens
	return time.Duration(chunks * batchStepMillis * (float64(u.running()) - j.output.mean.running) * float64(time.Millisecond))
}

// outputCost returns a cost that is higher at an engine with more output still to come
// than the mean, in proportion to the time that the job itself takes there: costly jobs
// go to engines that will soon have room, and cheap ones hardly care.
func (u *upstream) outputCost(j *Job, prefill int) time.Duration {
	m := j.output.mean
	if m == nil {
		return 0
	}
	excess := max(-maxOutputExcess, min((u.outputTokens()-m.tokens)/outputScale, maxOutputExcess))
	ownMillis := float64(min(prefill, j.lastBlockTokens()))/u.prefillRate + batchStepMillis*j.output.remaining
	return time.Duration(excess * ownMillis * float64(time.Millisecond))
}

// addOutput counts the output of a job that is sent to the upstream.
func (u *upstream) addOutput(j *Job) {
	if !j.output.estimated {
		return
	}
	j.output.remaining, j.output.variance = j.output.dist.Remaining(j.output.produced)
	j.memory = j.prefill + j.output.produced + int(j.output.remaining)
	u.output.remaining += j.output.remaining
	u.output.variance += j.output.variance
	u.output.setReserve()
}

// recordOutput counts events of a stream. Until the next refresh, each event takes at
// most half of what was expected.
func (u *upstream) recordOutput(j *Job, events int) {
	if u.engine == nil {
		return
	}
	tokens := events * u.engine.EventTokens
	j.output.produced += tokens
	if j.output.estimated {
		d := min(float64(tokens), j.output.remaining/2)
		j.output.remaining -= d
		u.output.remaining -= d
	}
}

// removeOutput removes the output of a job that ended.
func (u *upstream) removeOutput(j *Job) {
	if !j.output.estimated {
		return
	}
	u.output.remaining -= j.output.remaining
	u.output.variance -= j.output.variance
	if len(u.jobs) == 0 {
		u.output.remaining, u.output.variance = 0, 0 // Removes rounding errors.
	}
	u.output.setReserve()
}

// refreshOutput computes the expected output and the memory of the upstream's jobs
// again from what they have generated.
func (u *upstream) refreshOutput(now time.Time) {
	if now.Sub(u.output.refreshedAt) < outputRefresh {
		return
	}
	u.output = outputLoad{refreshedAt: now}
	for _, j := range u.jobs {
		if !j.output.estimated {
			continue
		}
		if j.output.produced > 0 {
			j.output.remaining, j.output.variance = j.output.dist.Remaining(j.output.produced)
			memory := j.prefill + j.output.produced + int(j.output.remaining)
			u.memory += memory - j.memory
			j.memory = memory
		}
		u.output.remaining += j.output.remaining
		u.output.variance += j.output.variance
	}
	u.output.setReserve()
}

// ownMemory returns the tokens of the engine's memory that this entry's jobs will take
// in nine of ten cases.
func (u *upstream) ownMemory() int {
	return u.memory + u.output.reserve
}

// expectedMemory returns the tokens of the engine's memory that all jobs will take.
func (u *upstream) expectedMemory() int { return u.ownMemory() + u.peers.memory }

// expectedMemory returns the tokens of an engine's memory that a job is expected to
// take, given the prompt tokens that the engine has to prefill.
func (j *Job) expectedMemory(prefill int) int {
	if j.output.estimated {
		return prefill + j.output.produced + int(j.output.remaining)
	}
	return prefill + j.OutputTokens
}

// reportedMemory returns the memory that this entry's jobs take for other entries, after
// computing it again.
func (u *upstream) reportedMemory(now time.Time) int {
	u.refreshOutput(now)
	return u.ownMemory()
}

// reportOutput adds the output still to come at an upstream, whose load was added last,
// to a report.
func (p *Planner) reportOutput(m *cleat.PlacementReport, u *upstream) {
	if p.cfg.Outputs != nil {
		m.Outputs = append(m.Outputs, cleat.EncodeTokens(int(u.output.remaining)))
	}
}

// addOutput adds the output of the n-th load of a report to the sum, or subtracts it with
// sign -1. A report of an earlier version has none.
func (s *peerLoad) addOutput(outputs []byte, n, sign int) {
	if n < len(outputs) {
		s.output += sign * cleat.DecodeTokens(outputs[n])
	}
}
