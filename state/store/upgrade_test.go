package store

import (
	"bytes"
	"math/rand"
	"testing"

	"marigoldcleat.example/cleat/stand/fdisk"
)

// Earlier versions left the segments that they had copied when they opened a log.
func TestCopiedSegmentsOfEarlierVersions(t *testing.T) {
	disk := fdisk.New(rand.New(rand.NewSource(1)))
	cfg := Config{SegmentBytes: 1}
	s, _, err := Open(cfg, disk)
	if err != nil {
		t.Fatal(err)
	}
	want := [][]byte{[]byte("a"), []byte("b"), []byte("c")}
	for _, r := range want[:2] {
		s.Append(r)
		if err := s.Sync(); err != nil {
			t.Fatal(err)
		}
	}
	for range 3 {
		if err := s.startSegment(header{}, want[1:2]); err != nil {
			t.Fatal(err)
		}
	}
	s.Append(want[2])
	if err := s.Sync(); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		var c *Contents
		if s, c, err = Open(cfg, disk); err != nil {
			t.Fatal(err)
		}
		if got := bytes.Join(c.Records, nil); !bytes.Equal(got, bytes.Join(want, nil)) {
			t.Fatalf("records %q, want %q", got, want)
		}
	}
}
