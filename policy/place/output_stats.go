package place

import (
	"math"

	"marigoldcleat.example/cleat/policy/cost"
)

// OutputStats counts the streams whose output was estimated since the start, by how far
// the estimates were off.
type OutputStats struct {
	Ended   uint64               // Streams that ended by themselves.
	Cut     uint64               // Streams that ended early, whose length isn't known.
	Deciles [10]uint64           // Ended streams by the tenth of the estimated distribution into which they fell: even when estimates are right.
	Ratios  [RatioBuckets]uint64 // Ended streams by their length divided by the estimated median, in powers of two from 1/8.
	Error   float64              // Sum over ended streams of the absolute logarithm, to base 2, of that ratio.
}

// RatioBuckets is the number of buckets of OutputStats.Ratios; the first and the last
// also hold all that is beyond them.
const RatioBuckets = 7

// OutputStats returns the counts of streams whose output was estimated.
func (p *Planner) OutputStats() OutputStats { return p.outputStats }

// OutputKeys returns for how many pairs of workspace and route, and routes alone, the
// output of streams is known.
func (p *Planner) OutputKeys() int {
	if p.cfg.Outputs == nil {
		return 0
	}
	return p.cfg.Outputs.Len()
}

// RecordFirstOutput records the events with which a job's stream began; RecordEvents
// takes all further ones.
func (p *Planner) RecordFirstOutput(j *Job, events int) {
	if u := j.upstream; u != nil {
		u.recordOutput(j, events)
		if events > 0 {
			u.recordOwnBegun(j)
		}
	}
}

// learnOutput learns from a stream that ended at an upstream.
func (p *Planner) learnOutput(j *Job, u *upstream, o Outcome) {
	if !j.output.estimated || j.output.produced == 0 || j.Continues || u.engine == nil {
		return
	}
	k := cost.OutputKey{Workspace: j.Workspace, Route: j.Route}
	if o != OutcomeServed {
		p.outputStats.Cut++
		p.cfg.Outputs.LearnCut(k, j.Hint, j.output.produced)
		return
	}
	// The last event holds half as many tokens as the others on average.
	tokens := max(1, j.output.produced-u.engine.EventTokens/2)
	p.outputStats.add(j.output.dist, tokens)
	p.cfg.Outputs.Learn(k, j.Hint, tokens)
}

func (s *OutputStats) add(o cost.Output, tokens int) {
	s.Ended++
	s.Deciles[min(int(10*o.Rank(tokens)), 9)]++
	octaves := math.Log2(float64(tokens) / max(o.Median(), 1))
	s.Error += math.Abs(octaves)
	s.Ratios[max(0, min(int(math.Round(octaves))+RatioBuckets/2, RatioBuckets-1))]++
}
