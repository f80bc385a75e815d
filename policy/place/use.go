package place

import (
	"time"

	"marigoldcleat.example/cleat"
)

// useBuckets divide the accounting window.
const useBuckets = 8

// use is what one workspace asked for and was sent over a sliding window.
type use struct {
	asked, admitted [useBuckets]int
	peers           cleat.WorkspaceUse // Sum over the other entries.
	newest          int64              // Number of the newest bucket.
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
	window time.Duration
	rows   map[cleat.WorkspaceID]*use
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
	r.advance(now.UnixNano() / int64(u.window/useBuckets))
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
	return sum(r.admitted) + int(r.peers.Admitted)
}

// report returns this entry's own numbers.
func (u *uses) report(now time.Time) []cleat.WorkspaceUse {
	var list []cleat.WorkspaceUse
	for w := range u.rows {
		r := u.row(now, w)
		asked, admitted := sum(r.asked), sum(r.admitted)
		if asked > 0 || admitted > 0 {
			list = append(list, cleat.WorkspaceUse{Workspace: w, Asked: uint32(asked), Admitted: uint32(admitted)})
		}
	}
	return list
}
