package store_test

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/gravitational/trace"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/stand/fdisk"
	"marigoldcleat.example/cleat/state/store"
)

func TestStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "store")
}

// workload counts the records that a test wrote and how many of them were
// acknowledged; a snapshot holds the number of records it replaced.
type workload struct {
	written      int
	acknowledged int
}

func record(n int) []byte {
	return []byte(fmt.Sprintf("record %d %s", n, strings.Repeat("x", n%90)))
}

// run appends records in groups, compacts instead of every seventh group and stops at
// the first error.
func (w *workload) run(s *store.Store, groups int) error {
	for g := range groups {
		if g%7 == 6 {
			if err := s.Compact([]byte(fmt.Sprint(w.written)), nil); err != nil {
				return err
			}
			w.acknowledged = w.written
			continue
		}
		for range 3 {
			s.Append(record(w.written))
			w.written++
		}
		if err := s.Sync(); err != nil {
			return err
		}
		w.acknowledged = w.written
	}
	return nil
}

// check expects every acknowledged record, in order and without a gap, and no more
// records than were written.
func (w *workload) check(c *store.Contents) {
	GinkgoHelper()
	first := 0
	if c.Snapshot != nil {
		_, err := fmt.Sscan(string(c.Snapshot), &first)
		Expect(err).NotTo(HaveOccurred())
	}
	for i, r := range c.Records {
		Expect(r).To(Equal(record(first + i)))
	}
	Expect(first + len(c.Records)).To(And(BeNumerically(">=", w.acknowledged), BeNumerically("<=", w.written)))
}

var _ = Describe("Store", func() {
	cfg := store.Config{SegmentBytes: 400}
	var disk *fdisk.Disk

	BeforeEach(func() {
		disk = fdisk.New(rand.New(rand.NewSource(1)))
	})

	open := func() (*store.Store, *store.Contents) {
		GinkgoHelper()
		s, c, err := store.Open(cfg, disk)
		Expect(err).NotTo(HaveOccurred())
		return s, c
	}

	It("keeps acknowledged records after a crash at any disk operation", func() {
		s, _ := open()
		disk.CrashAt(0)
		Expect(new(workload).run(s, 24)).To(Succeed())
		ops := disk.OpCount()
		for seed := range int64(8) {
			for at := 1; at <= ops; at++ {
				disk = fdisk.New(rand.New(rand.NewSource(seed)))
				w := &workload{}
				s, _ := open()
				disk.CrashAt(at)
				_ = w.run(s, 24)
				disk.Crash()
				s, c := open()
				w.check(c)
				w.written = w.acknowledged
				Expect(s.Close()).To(Succeed())
			}
		}
	})

	It("keeps acknowledged records after a crash during recovery", func() {
		for seed := range int64(8) {
			for at := 1; at <= 12; at++ {
				disk = fdisk.New(rand.New(rand.NewSource(seed)))
				w := &workload{}
				s, _ := open()
				Expect(w.run(s, 10)).To(Succeed())
				disk.Crash()
				disk.CrashAt(at)
				_, _, _ = store.Open(cfg, disk)
				disk.Crash()
				_, c := open()
				w.check(c)
			}
		}
	})

	It("stores the queued records after failed syncs", func() {
		for failures := 1; failures <= 4; failures++ {
			disk = fdisk.New(rand.New(rand.NewSource(int64(failures))))
			w := &workload{}
			s, _ := open()
			Expect(w.run(s, 3)).To(Succeed())
			disk.FailSyncs(failures)
			s.Append(record(w.written))
			w.written++
			for range failures {
				Expect(s.Sync()).NotTo(Succeed())
			}
			Expect(s.Sync()).To(Succeed())
			w.acknowledged = w.written
			Expect(w.run(s, 3)).To(Succeed())
			disk.Crash()
			_, c := open()
			w.check(c)
		}
	})

	It("stores the queued records once a full disk has room again", func() {
		s, _ := open()
		w := &workload{}
		Expect(w.run(s, 3)).To(Succeed())
		disk.SetCapacity(500)
		err := w.run(s, 50)
		Expect(store.IsDiskFull(err)).To(BeTrue())
		Expect(store.IsDiskFull(s.Sync())).To(BeTrue())
		disk.SetCapacity(0)
		Expect(s.Sync()).To(Succeed())
		w.acknowledged = w.written
		disk.Crash()
		_, c := open()
		w.check(c)
	})

	// CONFIG: restarts filled the disk of a control instance for good.
	for name, groups := range map[string]int{"of one segment": 1, "of several segments": 6, "with a snapshot": 12} {
		It("takes no more room after it was opened many times, with a log "+name, func() {
			s, _ := open()
			w := &workload{}
			Expect(w.run(s, groups)).To(Succeed())
			Expect(s.Close()).To(Succeed())
			size := int64(0)
			for range 30 {
				s, c := open()
				w.check(c)
				now, err := s.Size()
				Expect(err).NotTo(HaveOccurred())
				if size == 0 {
					size = now
				}
				Expect(now).To(BeNumerically("<=", size))
				disk.Crash()
			}
		})
	}

	It("truncates a torn tail", func() {
		s, _ := open()
		s.Append(record(0))
		Expect(s.Sync()).To(Succeed())
		file, err := disk.Open("segment-0000000000000001")
		Expect(err).NotTo(HaveOccurred())
		_, err = file.Write([]byte{1, 2, 3})
		Expect(err).NotTo(HaveOccurred())
		Expect(file.Sync()).To(Succeed())
		disk.Crash()
		_, c := open()
		Expect(c.TruncatedBytes).To(Equal(3))
		Expect(c.Records).To(Equal([][]byte{record(0)}))
	})

	damage := map[string]struct {
		name   string
		offset int
		want   string
	}{
		"header of the first segment":      {"segment-0000000000000001", 3, "segment-0000000000000001 is damaged at offset 0"},
		"middle of the first segment":      {"segment-0000000000000001", 100, "segment-0000000000000001 is damaged at offset"},
		"last record of the first segment": {"segment-0000000000000001", 420, "segment-0000000000000001 is damaged at offset"},
		"header of the second segment":     {"segment-0000000000000002", 3, "segment-0000000000000002 is damaged at offset 0"},
	}
	for name, d := range damage {
		It("refuses damage in the "+name, func() {
			s, _ := open()
			Expect(new(workload).run(s, 6)).To(Succeed())
			disk.Corrupt(d.name, d.offset)
			disk.Crash()
			_, _, err := store.Open(cfg, disk)
			Expect(err).To(MatchError(ContainSubstring(d.want)))
			Expect(trace.IsBadParameter(err)).To(BeTrue())
		})
	}

	It("refuses a missing segment", func() {
		s, _ := open()
		Expect(new(workload).run(s, 6)).To(Succeed())
		Expect(disk.Remove("segment-0000000000000001")).To(Succeed())
		Expect(disk.SyncFolder()).To(Succeed())
		disk.Crash()
		_, _, err := store.Open(cfg, disk)
		Expect(err).To(MatchError(ContainSubstring("are missing")))
	})

	It("refuses to open a store that is in use", func() {
		open()
		_, _, err := store.Open(cfg, disk)
		Expect(trace.IsAlreadyExists(err)).To(BeTrue())
	})
})

var _ = Describe("Folder", func() {
	It("keeps records after reopening and refuses a second opener", func() {
		path := filepath.Join(GinkgoT().TempDir(), "data")
		disk, err := store.NewFolder(path)
		Expect(err).NotTo(HaveOccurred())
		w := &workload{}
		s, _, err := store.Open(store.Config{}, disk)
		Expect(err).NotTo(HaveOccurred())
		Expect(w.run(s, 20)).To(Succeed())
		_, _, err = store.Open(store.Config{}, disk)
		Expect(trace.IsAlreadyExists(err)).To(BeTrue())
		Expect(s.Close()).To(Succeed())
		s, c, err := store.Open(store.Config{}, disk)
		Expect(err).NotTo(HaveOccurred())
		w.check(c)
		Expect(s.Close()).To(Succeed())
		names, err := disk.List()
		Expect(err).NotTo(HaveOccurred())
		Expect(names).To(HaveLen(2))
		_, err = os.Stat(filepath.Join(path, "lock"))
		Expect(err).NotTo(HaveOccurred())
	})
})

var _ cleat.Disk = (*store.Folder)(nil)
