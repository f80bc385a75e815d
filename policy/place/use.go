package place

import (
	"math"
	"slices"
	"time"

	"marigoldcleat.example/cleat"
)

// window counts over a sliding readWindow.
type window struct {
	counts [useBuckets]int
	newest int64
	epoch  time.Time // When the first bucket began.
}

func (w *window) advance(now time.Time) {
	if w.epoch.IsZero() {
		w.epoch = now
	}
	// A difference of times does not move with the time of day.
	bucket := int64(now.Sub(w.epoch) / (readWindow / useBuckets))
	for n := max(w.newest+1, bucket-useBuckets+1); n <= bucket; n++ {
		w.counts[n%useBuckets] = 0
	}
	w.newest = max(w.newest, bucket)
}

func (w *window) add(now time.Time, n int) {
	w.advance(now)
	w.counts[w.newest%useBuckets] += n
}

func (w *window) sum(now time.Time) int {
	w.advance(now)
	return sum(w.counts)
}

// useBuckets divide the accounting window.
const useBuckets = 8

// use is what one workspace asked for and was sent over a sliding window.
type use struct {
	asked, admitted [useBuckets]int
	peers           peerUse
	newest          int64 // Number of the newest bucket.
}

func (u *use) advance(bucket int64) {
	for n := max(u.newest+1, bucket-useBuckets+1); n <= bucket; n++ {
		u.asked[n%useBuckets], u.admitted[n%useBuckets] = 0, 0
	}
	u.newest = max(u.newest, bucket)
}

func sum(buckets [useBuckets]int) int {
	n := 0
	for _, b := range buckets {
		n += b
	}
	return n
}

// uses accounts the workspaces' use of capacity.
type uses struct {
	window   time.Duration
	epoch    time.Time // When the first bucket began.
	rows     map[cleat.WorkspaceID]*use
	capacity float64 // Units that all upstreams produce in a window; zero when not known.
	level    float64 // The max-min share of a workspace that asks for more, at levelled.
	levelled time.Time
}

func newUses(window time.Duration) uses {
	return uses{window: window, rows: make(map[cleat.WorkspaceID]*use)}
}

func (u *uses) row(now time.Time, w cleat.WorkspaceID) *use {
	r, ok := u.rows[w]
	if !ok {
		r = &use{}
		u.rows[w] = r
	}
	if u.epoch.IsZero() {
		u.epoch = now
	}
	r.advance(int64(now.Sub(u.epoch) / (u.window / useBuckets)))
	return r
}

func (u *uses) ask(now time.Time, w cleat.WorkspaceID, units int) {
	r := u.row(now, w)
	r.asked[r.newest%useBuckets] += units
}

func (u *uses) admit(now time.Time, w cleat.WorkspaceID, units int) {
	r := u.row(now, w)
	r.admitted[r.newest%useBuckets] += units
}

// admitted returns what the whole fleet sent for a workspace lately.
func (u *uses) admitted(now time.Time, w cleat.WorkspaceID) int {
	r := u.row(now, w)
	return sum(r.admitted) + r.peers.admitted
}

// report returns this entry's own numbers.
func (u *uses) report(now time.Time) []cleat.WorkspaceUsage {
	var list []cleat.WorkspaceUsage
	for w := range u.rows {
		r := u.row(now, w)
		asked, admitted := sum(r.asked), sum(r.admitted)
		if asked > 0 || admitted > 0 {
			list = append(list, cleat.WorkspaceUsage{Workspace: w, RequestedTokens: uint32(asked), AdmittedTokens: uint32(admitted)})
		}
	}
	return list
}

// levelInterval is how long a max-min share is taken to hold.
const levelInterval = 50 * time.Millisecond

// exceeds reports whether a workspace was sent so many times its max-min share of
// the capacity already. The job that crosses the share still goes: else large requests would
// never fit beside small ones.
func (u *uses) exceeds(now time.Time, w cleat.WorkspaceID, times float64) bool {
	if u.capacity == 0 {
		return false
	}
	if now.Sub(u.levelled) >= levelInterval {
		u.levelled, u.level = now, u.share(now)
	}
	return float64(u.admitted(now, w)) >= times*u.level
}

// crowdedShare is how many times its share a workspace asks for when its callers
// are taken to crowd each other out.
const crowdedShare = 1.25

// crowded reports whether a workspace asked for much more than its share lately.
func (u *uses) crowded(now time.Time, w cleat.WorkspaceID) bool {
	r := u.row(now, w)
	return u.capacity > 0 && float64(sum(r.asked)+r.peers.asked) > crowdedShare*u.level
}

// share returns the most that a workspace is owed in a window: what is asked by
// those that ask for less is left to the others in even parts.
func (u *uses) share(now time.Time) float64 {
	asked := make([]float64, 0, len(u.rows))
	for w := range u.rows {
		r := u.row(now, w)
		if n := sum(r.asked) + r.peers.asked; n > 0 {
			asked = append(asked, float64(n))
		}
	}
	slices.Sort(asked)
	left := u.capacity
	for i, n := range asked {
		even := left / float64(len(asked)-i)
		if n > even {
			return even
		}
		left -= n
	}
	return math.Inf(1)
}
