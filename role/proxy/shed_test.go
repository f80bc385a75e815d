package proxy

import (
	"testing"
	"time"
)

func TestShedFraction(t *testing.T) {
	cases := map[string]struct {
		lag      time.Duration
		fraction float64
	}{
		"work starts at once":         {0, 0},
		"a lag that callers can bear": {lagShedNone, 0},
		"half of the way":             {(lagShedNone + lagShedAll) / 2, 0.5},
		"the worst":                   {lagShedAll, 1},
		"beyond the worst":            {time.Minute, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := shedFraction(c.lag); got != c.fraction {
				t.Errorf("refuses a fraction of %v of the requests, want %v", got, c.fraction)
			}
		})
	}
}

func TestLastID(t *testing.T) {
	cases := map[string]struct {
		events, id string
		ok         bool
	}{
		"one event":               {"id: 3\ndata: x\n\n", "3", true},
		"several events":          {"id: 3\ndata: x\n\nid: 4\ndata: y\n\n", "4", true},
		"the last one without":    {"id: 3\ndata: x\n\ndata: y\n\n", "3", true},
		"none with an id":         {"data: x\n\n", "", false},
		"an id after the data":    {"data: x\nid: 9\n\n", "9", true},
		"data that looks like it": {"data: id: 7\n\n", "", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			id, ok := lastID([]byte(c.events))
			if id != c.id || ok != c.ok {
				t.Errorf("got %q, %v", id, ok)
			}
		})
	}
}
