package place

import (
	"time"

	"marigoldcleat.example/cleat"
)

// Load pattern of this file: the sessions of long prompts meet more requests than the
// engine that has their shared prefix cached can take, so that requests go to other
// engines. Prefilling the shared blocks there again takes 100 ms of engine time for 5,000
// tokens; fetching them from the engine that has them takes a tenth of that or less.

const (
	// minFetchTokens is the smallest number of cached tokens for which a fetch is made:
	// prefilling fewer takes no longer than setting up the transfer.
	minFetchTokens = 256
	// fetchSetup is the time that a transfer takes besides its bytes.
	fetchSetup = 10 * time.Millisecond
	// fetchGain is how many times faster than prefill a transfer must be. Transfers
	// queue on the links of both engines.
	fetchGain = 4
)

// source is the upstream from which a prompt's cached prefix can be fetched.
type source struct {
	upstream *upstream
	tokens   int // Cached there; zero when there is no source.
}

// findSource returns the upstream that has most of a job's prefix in its cache and is
// expected to have prefilled it by now. Among several with as much, a hash of the job
// spreads the transfers.
func (p *Planner) findSource(now time.Time, j *Job) source {
	var best source
	e := p.engines[j.Service]
	if e == nil || e.FetchTokensPerMS == 0 || len(j.Blocks) == 0 {
		return best
	}
	var bestRank float64
	for _, u := range p.services[j.Service] {
		if !u.isSource(now, j) {
			continue
		}
		n := u.fetchable(now, j.Blocks)
		if n < minFetchTokens || n < best.tokens {
			continue
		}
		if rank := hashToUnit(u.hash ^ j.ID); n > best.tokens || rank > bestRank {
			best, bestRank = source{u, n}, rank
		}
	}
	return best
}

// isSource reports whether other upstreams may fetch cached blocks from this one: it
// takes requests itself, answers them, and has the software version that the job needs.
func (u *upstream) isSource(now time.Time, j *Job) bool {
	return u.record.Phase == cleat.UpstreamReady && !u.evacuated && !now.Before(u.avoidUntil) && !u.isPaused(now) &&
		u.failureRate(now) == 0 && (j.Version == "" || j.Version == u.record.Version)
}

// fetchable returns how many tokens of a prompt the upstream has cached and has already
// prefilled.
func (u *upstream) fetchable(now time.Time, blocks []cleat.PrefixBlock) int {
	n := 0
	for _, b := range blocks {
		if u.cache == nil || !u.cache.isReady(now, b.Digest) {
			break
		}
		n += b.Tokens
	}
	return n
}

// canFetch reports whether an upstream with the given cached tokens should fetch the rest
// of the prefix from a source: only from an engine of the same software version, as
// others may lay out their memory differently.
func (u *upstream) canFetch(s source, cached int) bool {
	return s.tokens-cached >= minFetchTokens && s.upstream != u && s.upstream.record.Version == u.record.Version &&
		u.engine.FetchTokensPerMS >= fetchGain*u.prefillRate
}

// withFetch returns how many tokens of a job's prompt an upstream need not prefill and,
// when a part of them comes from a source, the time that the transfer takes.
func (u *upstream) withFetch(s source, cached int) (int, time.Duration) {
	if !u.canFetch(s, cached) {
		return cached, 0
	}
	transfer := float64(s.tokens-cached) / u.engine.FetchTokensPerMS
	return s.tokens, fetchSetup + time.Duration(transfer*float64(time.Millisecond))
}
