package httpd

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A crowd of stalled requests kept ordinary callers out once it had used up the memory.
func TestChooseEvicted(t *testing.T) {
	now := time.Unix(1e9, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	conns := make([]*conn, 6)
	for i := range conns {
		conns[i] = &conn{}
	}
	large, small := int64(1<<20), int64(32<<10)
	cases := map[string]struct {
		list  []holder
		bytes int64
		conns int
		want  []int // Indexes into list.
	}{
		"nothing is short": {list: []holder{{conns[0], phaseBody, large, ago(time.Minute), time.Time{}}}},
		"the stalled body goes before small and new requests": {
			list: []holder{
				{conns[0], phaseIdle, small, ago(10 * time.Second), time.Time{}},
				{conns[1], phaseBody, large, ago(10 * time.Second), time.Time{}},
				{conns[2], phaseBody, large, ago(time.Millisecond), time.Time{}},
			},
			bytes: large, want: []int{1},
		},
		"requests that upstreams may have stay": {
			list:  []holder{{conns[0], phaseServing, large, ago(time.Hour), time.Time{}}, {conns[1], phaseHead, small, ago(time.Second), time.Time{}}},
			bytes: large, want: []int{1},
		},
		"an answer goes once it has been unread for long": {
			list: []holder{
				{conns[0], phaseServing, large, ago(time.Hour), ago(unreadTimeout / 2)},
				{conns[1], phaseServing, large, ago(time.Hour), ago(2 * unreadTimeout)},
			},
			bytes: large, want: []int{1},
		},
		"those evicted before count": {
			list:  []holder{{conns[0], phaseEvicted, large, ago(time.Second), time.Time{}}, {conns[1], phaseBody, large, ago(time.Second), time.Time{}}},
			bytes: large / 2,
		},
		"of connections without a request the longest idle": {
			list: []holder{
				{conns[0], phaseIdle, small, ago(time.Second), time.Time{}},
				{conns[1], phaseIdle, small, ago(3 * time.Second), time.Time{}},
				{conns[2], phaseIdle, small, ago(2 * time.Second), time.Time{}},
			},
			conns: 2, want: []int{1, 2},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var got []int
			for _, h := range chooseEvicted(now, c.list, c.bytes, c.conns) {
				got = append(got, slices.IndexFunc(c.list, func(other holder) bool { return other.conn == h.conn }))
			}
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("evicted %v, want %v", got, c.want)
			}
		})
	}
}
