package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	diskBytes   = 128 << 20 // disk-mb of a machine of the core
	bigRoutes   = 350       // big_config on the small site
	logBytes    = 7700 << 10
	coreKills   = 36
	changePause = 10 * time.Millisecond
)

// bigConfig is a configuration that has grown by many routes.
func (w *world) bigConfig() *config {
	c := plainConfig()
	for range bigRoutes {
		r := route(w.randomName(7), "safe", "desk", 2, 2*time.Second)
		r["name"], r["host"] = "r-"+w.randomName(7), w.randomName(6)+".example"
		c.Routes = append(c.Routes, r)
	}
	return c
}

func (w *world) randomName(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	b := make([]byte, n)
	for i := range b {
		b[i] = letters[w.intn(len(letters))]
	}
	return string(b)
}

// usedBytes returns what the files in a process's disk folder take.
func (p *process) usedBytes() int64 {
	var sum int64
	_ = filepath.WalkDir(p.dataDir(), func(_ string, d os.DirEntry, err error) error {
		if err != nil || !d.Type().IsRegular() {
			return nil // A file may be removed meanwhile.
		}
		if info, err := d.Info(); err == nil {
			sum += info.Size()
		}
		return nil
	})
	return sum
}

func (p *process) dataDir() string { return filepath.Join(p.w.folder, p.name) }

// startOnDisk starts a control instance on a disk of diskBytes: what it writes beyond
// that is refused. At its start a process writes a single file.
func (p *process) startOnDisk() error {
	free := max(0, diskBytes-p.usedBytes())
	if err := p.start(); err != nil {
		return err
	}
	limit := unix.Rlimit{Cur: uint64(free), Max: uint64(free)}
	return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// readConfig asks all control instances for the configuration until one returns it.
func (w *world) readConfig(within time.Duration) (uint64, error) {
	for end := time.Now().Add(within); ; time.Sleep(50 * time.Millisecond) {
		for _, addr := range w.controls {
			status, body, err := w.call(addr, http.MethodGet, "/marigoldcleat/config", nil)
			if err != nil || status != http.StatusOK {
				continue
			}
			var c config
			if err := json.Unmarshal(body, &c); err != nil {
				return 0, err
			}
			return c.Version, nil
		}
		if time.Now().After(end) {
			return 0, errors.New("no control instance returns the configuration")
		}
	}
}

// playDisk sends many changes of the configuration, and then kills all control instances
// at once, again and again. The platform starts each again within a second.
func playDisk(w *world, trouble bool) (bool, error) {
	if err := w.startFleet(3, 1, plainConfig()); err != nil {
		return false, err
	}
	controls := w.procsOf("control")
	for _, p := range controls {
		if err := p.restartSettings(); err != nil {
			return false, err
		}
	}
	c := w.bigConfig()
	for controls[0].usedBytes() < logBytes && time.Since(w.start) < 45*time.Second {
		c.Version++
		c.Routes[len(c.Routes)-1] = route(w.randomName(7), "safe", "desk", 2, 2*time.Second)
		if err := w.putConfig(c, 10*time.Second); err != nil {
			return false, err
		}
		time.Sleep(changePause)
	}
	w.notef("version %d is acknowledged; the disk of %s holds %d bytes", c.Version, controls[0].name, controls[0].usedBytes())

	ends := 0
	for i := range coreKills {
		if !trouble {
			break
		}
		for _, p := range controls {
			p.kill()
		}
		time.Sleep(200 * time.Millisecond)
		for _, p := range controls {
			if err := p.startOnDisk(); err != nil {
				return false, err
			}
		}
		time.Sleep(700 * time.Millisecond)
		for _, p := range controls {
			if p.hasEnded() {
				ends++
			}
		}
		version, err := w.readConfig(time.Second)
		w.notef("kill %d of the core: the disks hold %d, %d and %d bytes of %d; version %d is read, err %v", i+1,
			controls[0].usedBytes(), controls[1].usedBytes(), controls[2].usedBytes(), diskBytes, version, err)
	}
	if trouble {
		w.notef("no more kills; the platform starts again what ends, for 12 s")
		for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
			for _, p := range controls {
				if p.hasEnded() {
					ends++
					if err := p.startOnDisk(); err != nil {
						return false, err
					}
				}
			}
		}
	}
	version, err := w.readConfig(contactTime + time.Second)
	w.notef("control instances ended by themselves %d times", ends)
	w.notef("at the end: version %d was acknowledged, %d is read, err %v", c.Version, version, err)
	return err != nil || version < c.Version, nil
}

// logLines passes what a process writes to its log, so that limits on its files don't
// concern it.
type logLines struct {
	mu   sync.Mutex
	file *os.File
	last string
}

func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(string(b)) {
		if strings.Contains(line, "level=error") {
			l.last = strings.TrimSpace(line)
		}
	}
	return l.file.Write(b)
}
