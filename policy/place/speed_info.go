package place

import (
	"math"
	"slices"
	"strings"
	"time"

	"marigoldcleat.example/cleat"
)

// reportedChange is the factor from which a change of an upstream's lasting speed is worth
// a line in the log.
const reportedChange = 1.2

// UpstreamSpeed is the speed of an upstream, relative to the median of its service.
type UpstreamSpeed struct {
	Upstream    cleat.UpstreamID
	Service     cleat.ServiceName
	Lasting     float64 // 1 when it can't be told from the median.
	Momentary   float64 // Factor of the lasting speed; 1 for as usual.
	Was         float64 // The lasting speed when it was last returned as changed.
	Weight      float64 // Seconds of streams behind the lasting speed.
	PrefillRate float64 // That the planner counts on, in tokens/ms.
	Changed     bool    // The lasting speed differs clearly from Was.
}

// Speeds returns the speeds of all upstreams, sorted by upstream.
func (p *Planner) Speeds(now time.Time) []UpstreamSpeed {
	list := make([]UpstreamSpeed, 0, len(p.upstreams))
	for s, members := range p.services {
		p.updateSpeeds(now, s)
		for _, u := range members {
			v := UpstreamSpeed{
				Upstream: u.record.Upstream, Service: s, Lasting: u.speed.Factor(), Momentary: u.speed.Momentary(),
				Was: u.loggedSpeed, Weight: u.speed.Weight(), PrefillRate: u.prefillRate,
			}
			if v.Was == 0 {
				v.Was = 1
			}
			if v.Changed = math.Abs(math.Log(v.Lasting/v.Was)) > math.Log(reportedChange); v.Changed {
				u.loggedSpeed = v.Lasting
			}
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b UpstreamSpeed) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
	return list
}
