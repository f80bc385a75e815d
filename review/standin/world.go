package main

import (
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Sizes and bounds of the deployment, as on the smallest site.
const (
	contactTime = 3 * time.Second // contact-ms
	drainTime   = 2 * time.Second // drain-ms
	beatTime    = 1200 * time.Millisecond
	fleetKey    = "marigoldcleat-fleet-key-0001"
	host        = "ficu95.example"
	key         = "asnmgkcuyj8pjbvk9m68"
	tenant      = "hule930"
)

// binary is the program that the build of the deploy file makes.
const binary = "target/hosted"

// world is one fleet with its surroundings.
type world struct {
	*record
	starter *starter
	folder  string
	prefix  string // Of all addresses.
	base    int    // First port for the fleet's own use; the next are those for clients, ready checks and control.

	mu       sync.Mutex
	procs    []*process
	servers  []*server
	controls []string // Addresses of control for operators and servers.
	seeds    []string
	lastID   int
	rnd      *rand.Rand
	attempts map[string]*attempt
}

func newWorld(r *record) (*world, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("the program is not built: %w", err)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{
		record: r, starter: newStarter(), folder: folder, rnd: rand.New(rand.NewSource(time.Now().UnixNano())), attempts: make(map[string]*attempt),
	}
	w.prefix = fmt.Sprintf("127.%d.%d.", 16+w.rnd.Intn(200), 1+w.rnd.Intn(250))
	if w.base, err = freePorts(w.prefix + "1"); err != nil {
		return nil, err
	}
	return w, nil
}

// freePorts returns the first of five ports that nothing listens on at an address. They
// are below those that the system assigns to outgoing connections.
func freePorts(ip string) (int, error) {
	for base := 12000 + os.Getpid()%1500*10; base < 32000; base += 10 {
		free := true
		for port := base; port < base+5 && free; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, errors.New("no ports are free")
}

func (w *world) close() {
	for _, s := range w.servers {
		s.crash()
	}
	for _, p := range w.procs {
		p.kill()
		_ = p.log.file.Close()
	}
	if folder := os.Getenv("KEEP_LOGS"); folder != "" {
		_ = os.CopyFS(folder, os.DirFS(w.folder))
	}
	_ = os.RemoveAll(w.folder)
}

// process is one program of the fleet.
type process struct {
	w      *world
	name   string
	role   string
	ip     string
	zone   string
	file   string
	core   int
	log    *logLines
	cmd    *exec.Cmd
	exited chan struct{}
}

// settings are those of a process's settings file that differ from process to process.
type settings struct {
	name, role, class, ip, zone string
	seeds                       []string
	bootstrap                   bool
	listen                      map[string]string
	dataDir                     string
	memory                      int
}

func (w *world) writeSettings(s settings) (string, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "node: %q\nrole: %q\nmachine-class: %q\nip: %q\nzone: %q\nregion: \"riga-region\"\n", s.name, s.role, s.class, s.ip, s.zone)
	b.WriteString("listen:\n")
	for name, addr := range s.listen {
		fmt.Fprintf(&b, "  %s: %q\n", name, addr)
	}
	fmt.Fprintf(&b, "port-range:\n  - %d\n  - %d\nseeds:\n", w.base, w.base+1)
	for _, seed := range s.seeds {
		fmt.Fprintf(&b, "  - %q\n", seed)
	}
	fmt.Fprintf(&b, "bootstrap: %v\nfault-counted: %v\nlimits:\n  cpu-share: 1.0\n  cores: 1\n  memory-mb: %d\n  max-fds: 4100\n", s.bootstrap, s.class == "core", s.memory)
	if s.dataDir == "" {
		b.WriteString("data-dir: null\n")
	} else {
		fmt.Fprintf(&b, "data-dir: %q\n", s.dataDir)
	}
	b.WriteString("heartbeat-ms: 1200\nfault-tolerance:\n  machines: 1\n  zones: 0\n  regions: 0\nbounds:\n  seed-lag-s: 3\n  contact-ms: 3000\n  ack-ms: 4000\n" +
		"  catch-up-s: 4\n  drain-ms: 2000\n  grace-s: 8\n  loss-slack-ms: 200\n  config-apply-ms: 2000\n  retry-budget-ratio: 0.2\n  budget-window-s: 10\n" +
		"  budget-slack: 56\n  recovery-s: 12\n  quota-window-s: 4\nconfig-mode: \"highest\"\n")
	file := filepath.Join(w.folder, s.name+".yaml")
	return file, os.WriteFile(file, []byte(b.String()), 0o600)
}

// startFleet starts control instances and entries, all for the first time, and waits
// until they serve a configuration.
func (w *world) startFleet(controls, entries int, c *config) error {
	for i := range controls {
		w.controls = append(w.controls, fmt.Sprintf("%s%d:%d", w.prefix, 10+i, w.base+4))
	}
	w.seeds = w.controls[:min(3, controls)]
	for i := range controls {
		if _, err := w.startControl(i, true); err != nil {
			return err
		}
	}
	for i := range entries {
		if _, err := w.startEntry(i, true); err != nil {
			return err
		}
	}
	if err := w.putConfig(c, 20*time.Second); err != nil {
		return err
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, p := range w.procs {
			ready = ready && (p.role != "entry" || w.isReady(p))
		}
		if ready {
			return nil
		}
		if time.Now().After(end) {
			return errors.New("the entries are not ready")
		}
	}
}

func zoneOf(i int) string { return "riga-" + string(rune('a'+i%3)) }

func (w *world) startControl(i int, first bool) (*process, error) {
	name := fmt.Sprintf("core-%d", i)
	s := settings{
		name: name, role: "control", class: "core", ip: fmt.Sprintf("%s%d", w.prefix, 10+i), zone: zoneOf(i), seeds: w.seeds, bootstrap: first,
		dataDir: filepath.Join(w.folder, name), memory: 280,
	}
	s.listen = map[string]string{"control": fmt.Sprintf("%s:%d", s.ip, w.base+4)}
	return w.startProcess(s)
}

func (w *world) startEntry(i int, first bool) (*process, error) {
	s := settings{
		name: fmt.Sprintf("front-%d", i), role: "entry", class: "front", ip: fmt.Sprintf("%s%d", w.prefix, 100+i), zone: zoneOf(i), seeds: w.seeds, bootstrap: first, memory: 134,
	}
	s.listen = map[string]string{"front": fmt.Sprintf("%s:%d", s.ip, w.base+2), "ready": fmt.Sprintf("%s:%d", s.ip, w.base+3)}
	return w.startProcess(s)
}

func (w *world) startProcess(s settings) (*process, error) {
	file, err := w.writeSettings(s)
	if err != nil {
		return nil, err
	}
	p := &process{w: w, name: s.name, role: s.role, ip: s.ip, zone: s.zone, file: file}
	log, err := os.Create(filepath.Join(w.folder, s.name+".log"))
	if err != nil {
		return nil, err
	}
	p.log = &logLines{file: log}
	w.mu.Lock()
	p.core = len(w.procs)
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	return p, p.start()
}

// start starts the program with the command of the deploy file.
func (p *process) start() error {
	cmd := exec.Command(binary, p.role)
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"),
		"CLEAT_FLEET_KEY=" + fleetKey, "MARIGOLDCLEAT_BOOT=" + p.file,
	}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := p.w.starter.start(cmd, p.core); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait() // How it ended is in the log.
		close(exited)
	}()
	p.w.notef("%s starts", p.name)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s) // The process may have ended.
	p.w.notef("%s gets %v", p.name, s)
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	if p.cmd == nil {
		return // It could not be started.
	}
	_ = p.cmd.Process.Kill() // The process may have ended.
	<-p.exited
}

// restartSettings makes further starts of a process no first starts.
func (p *process) restartSettings() error {
	b, err := os.ReadFile(p.file)
	if err != nil {
		return err
	}
	return os.WriteFile(p.file, []byte(strings.Replace(string(b), "bootstrap: true", "bootstrap: false", 1)), 0o600)
}

func (w *world) isReady(p *process) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/marigoldcleat/ready", p.ip, w.base+3))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *world) procsOf(role string) []*process {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*process
	for _, p := range w.procs {
		if p.role == role {
			list = append(list, p)
		}
	}
	return list
}

func (w *world) intn(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.Intn(n)
}

// sleepUntil sleeps until a time after the start of the record.
func (w *world) sleepUntil(after time.Duration) { time.Sleep(time.Until(w.start.Add(after))) }
