package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"gopkg.in/yaml.v3"
)

// Bounds of the small deployments, as their pages state them.
const (
	contactTime = 3 * time.Second // contact-ms
	drainTime   = 2 * time.Second // drain-ms
)

const (
	fleetKey    = "marigoldcleat-fleet-key-0001" // As in the deploy file.
	beatTime    = 1200 * time.Millisecond        // heartbeat-ms
	callTimeout = time.Second                    // How long operators and servers wait for an answer.
)

// Ports, as offsets from the first one; the first two are the fleet's own.
const (
	frontPort = iota + 2
	readyPort
	controlPort
	portCount
)

// world is a fleet with its operator, servers and clients.
type world struct {
	folder   string // Of the processes' settings, disks and logs.
	prefix   string // Of all addresses.
	base     int    // First port.
	trouble  bool
	started  time.Time
	controls []*process
	entries  []*process

	mu     sync.Mutex
	record *os.File
}

func newWorld(caseFolder string, trouble bool) (*world, error) {
	record, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{folder: folder, record: record, trouble: trouble, started: time.Now()}
	// Worlds of one machine differ in the second and third byte.
	w.prefix = fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%200, 1+os.Getpid()/200%250)
	if w.base, err = freePorts(w.prefix); err != nil {
		return nil, err
	}
	for i := range 3 {
		w.controls = append(w.controls, w.newProcess("control", i, 10+i))
	}
	for i := range 2 {
		w.entries = append(w.entries, w.newProcess("entry", i, 100+i))
	}
	w.note("fleet of 3 control instances and 2 entries; disruption: %v", trouble)
	return w, nil
}

// freePorts returns the first of portCount ports that are free.
func freePorts(prefix string) (int, error) {
	for base := 20000 + os.Getpid()%900*10; base < 32000; base += 10 {
		free := true
		for port := base; port < base+portCount && free; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s10:%d", prefix, port))
			if free = err == nil; free {
				_ = l.Close() // Only the port matters.
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no ports are free")
}

// note writes a line into the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes what they wrote.
func (w *world) close() {
	w.end(append(w.controls, w.entries...)...)
	_ = os.RemoveAll(w.folder)
	_ = w.record.Close()
}

// seeds returns the addresses of the control instances for operators and servers.
func (w *world) seeds() []string {
	list := make([]string, 0, len(w.controls))
	for _, p := range w.controls {
		list = append(list, p.address(controlPort))
	}
	return list
}

// process is one program of the fleet.
type process struct {
	world *world
	role  string
	name  string
	ip    string
	cmd   *exec.Cmd // Nil while it is down.
}

func (w *world) newProcess(role string, i, last int) *process {
	return &process{world: w, role: role, name: fmt.Sprintf("%s-%d", role, i), ip: fmt.Sprintf("%s%d", w.prefix, last)}
}

func (p *process) address(port int) string { return fmt.Sprintf("%s:%d", p.ip, p.world.base+port) }

// settings are those of a small deployment. bootstrap is set only when the whole fleet
// starts for the first time.
func (p *process) settings(bootstrap bool) map[string]any {
	listen, memory, disk := map[string]string{"front": p.address(frontPort), "ready": p.address(readyPort)}, 284, any(nil)
	class := "front"
	if p.role == "control" {
		listen, memory, disk = map[string]string{"control": p.address(controlPort)}, 280, filepath.Join(p.world.folder, p.name)
		class = "core"
	}
	return map[string]any{
		"node": p.name, "role": p.role, "machine-class": class, "ip": p.ip, "zone": "a", "region": "r", "zones": map[string]string{"a": "r"},
		"listen": listen, "port-range": []int{p.world.base, p.world.base + 1}, "seeds": p.world.seeds(), "bootstrap": bootstrap,
		"limits": map[string]any{"memory-mb": memory, "max-fds": 4096}, "data-dir": disk, "heartbeat-ms": beatTime.Milliseconds(),
		"fault-tolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8, "config-apply-ms": 2000, "recovery-s": 12,
			"retry-budget-ratio": 0.2, "budget-window-s": 10, "budget-slack": 54, "quota-window-s": 4,
		},
	}
}

// start starts the process with the command and the variables of the deploy file.
func (p *process) start(bootstrap bool) error {
	b, err := yaml.Marshal(p.settings(bootstrap))
	if err != nil {
		return err
	}
	file := filepath.Join(p.world.folder, p.name+".yaml")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.world.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	if p.role == "control" {
		if err := os.MkdirAll(filepath.Join(p.world.folder, p.name), 0o700); err != nil {
			return err
		}
	}
	cmd := exec.Command("target/hosted", p.role)
	cmd.Env = append(os.Environ(), "CLEAT_FLEET_KEY="+fleetKey, "MARIGOLDCLEAT_BOOT="+file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = endWithParent()
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	p.world.note("%s starts at %s, bootstrap %v", p.name, p.ip, bootstrap)
	return nil
}

// endWithParent makes the kernel kill a process when this one ends, however that comes.
func endWithParent() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }

func (w *world) start(bootstrap bool, list ...*process) error {
	for _, p := range list {
		if err := p.start(bootstrap); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) end(list ...*process) {
	for _, p := range list {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
		}
	}
	for _, p := range list {
		if p.cmd != nil {
			_ = p.cmd.Wait() // It was killed.
			p.cmd = nil
		}
	}
}
