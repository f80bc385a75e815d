package place

import (
	"math"
	"time"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/policy/speed"
)

// Load pattern of this file: the upstreams of a service differ in speed, for good or for
// moments. Each entry sees too few first events to tell; together they do.

const (
	// speedInterval is how long the speeds of a service's upstreams are reused.
	speedInterval = 25 * time.Millisecond
	// estimateReports is in how many of its reports an entry states each of its
	// estimates once; they are for entries that have just started.
	estimateReports = 16
)

// serviceSpeeds is the speeds of one service's upstreams.
type serviceSpeeds struct {
	group     speed.Group
	updatedAt time.Time
}

// resetSpeeds builds the groups again after the upstreams changed.
func (p *Planner) resetSpeeds() {
	clear(p.speeds)
	for s, list := range p.services {
		g := &serviceSpeeds{}
		for _, u := range list {
			g.group.Add(&u.speed)
		}
		p.speeds[s] = g
	}
}

// updateSpeeds sets the prefill rates of a service's upstreams from their learnt rates
// and their speeds. An upstream of usual speed has its own learnt rate; the others have
// the mean of these, times their speed.
func (p *Planner) updateSpeeds(now time.Time, s cleat.ServiceName) {
	g := p.speeds[s]
	if g == nil || p.ignoreSpeeds || now.Sub(g.updatedAt) < speedInterval {
		return
	}
	wasUneven := g.group.IsUneven() || g.updatedAt.IsZero()
	g.updatedAt = now
	if g.group.Update(now); !g.group.IsUneven() && !wasUneven {
		return
	}
	list := p.services[s]
	sum, n, factors := 0.0, 0, 0.0
	for _, u := range list {
		if u.speed.Factor() == 1 {
			sum, n = sum+math.Log(u.learnedRate), n+1
		}
		factors += math.Log(u.speed.Factor())
	}
	base := math.Exp(sum / float64(max(1, n)))
	norm := math.Exp(-factors / float64(len(list)))
	for _, u := range list {
		if f := u.speed.Factor(); f != 1 && n > 0 {
			u.learnedRate = base
		}
		u.prefillRate = min(max(norm*u.learnedRate*u.speed.Factor()*u.speed.Momentary(), minPrefillRate), maxPrefillRate)
	}
}

// stepRate moves the learnt prefill rate by one observation.
func (u *upstream) stepRate(factor float64) {
	u.learnedRate = min(max(u.learnedRate*factor, minPrefillRate), maxPrefillRate)
	u.prefillRate = min(max(u.prefillRate*factor, minPrefillRate), maxPrefillRate)
}

// incarnationTag tells the incarnations of an upstream apart in speed reports.
func (u *upstream) incarnationTag() uint16 { return uint16(u.record.StartedAtMillis) }

// reportSpeed returns what is reported of an upstream's speed, or nil.
func (p *Planner) reportSpeed(now time.Time, u *upstream) *cleat.UpstreamSpeed {
	r := u.speed.Report(now, (u.hash^hashName(string(p.cfg.Self)))%estimateReports == p.seq%estimateReports)
	if r != nil {
		r.Incarnation = u.incarnationTag()
	}
	return r
}

// applySpeeds applies what another entry reports of the upstreams' speeds.
func (p *Planner) applySpeeds(now time.Time, loads []cleat.UpstreamLoad) {
	for i := range loads {
		r := loads[i].Speed
		if r == nil {
			continue
		}
		if u, ok := p.upstreams[loads[i].Upstream]; ok && u.incarnationTag() == r.Incarnation {
			u.speed.Apply(now, r)
		}
	}
}

// slowedLoad returns the cost of a plain upstream's load, and of the next request there,
// at its speed.
func (u *upstream) slowedLoad(load time.Duration) time.Duration {
	f := u.speed.Factor() * u.speed.Momentary()
	if f == 1 {
		return load
	}
	next := float64(fullUpstreamCost) / float64(max(1, u.record.Slots))
	return time.Duration(max(0, float64(load)/f+(1/f-1)*next))
}

// stretchTime is the least length of a stretch of a stream that is measured.
const stretchTime = 150 * time.Millisecond

// recordSteps records what further events of a job show of the upstream's speed.
func (u *upstream) recordSteps(now time.Time, j *Job, tokens int) {
	if j.stretchAt.IsZero() {
		j.stretchAt, j.stretchTokens = now, 0
		return
	}
	j.stretchTokens += tokens
	d := now.Sub(j.stretchAt)
	if d < stretchTime {
		return
	}
	u.speed.Add(now, speed.Stretch{
		Tokens: j.stretchTokens, Running: u.running(), Elapsed: d,
		Prefill: float64(u.recentPrefill.sum(now)+u.peers.recentPrefill) / float64(prefillWindow/time.Millisecond),
	})
	j.stretchAt, j.stretchTokens = now, 0
}
