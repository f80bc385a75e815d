package ctrl_test

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/link/wire"
	"marigoldcleat.example/cleat/role/admin"
	"marigoldcleat.example/cleat/role/ctrl"
	"marigoldcleat.example/cleat/role/node"
	"marigoldcleat.example/cleat/stand/assert"
	"marigoldcleat.example/cleat/state/store"
)

func TestCtrl(t *testing.T) {
	RegisterFailHandler(Fail)
	assert.SetHook(func(name, msg string) { panic(name + ": " + msg) })
	RunSpecs(t, "ctrl")
}

const eventuallyTimeout = 30 * time.Second

// killableDisk is a disk whose operations fail once it is killed, as if the process had
// died.
type killableDisk struct {
	cleat.Disk
	mu     sync.Mutex
	killed bool
}

func (d *killableDisk) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.killed = true
}

func (d *killableDisk) check() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.killed {
		return trace.ConnectionProblem(nil, "the process was killed")
	}
	return nil
}

func (d *killableDisk) Create(name string) (cleat.File, error) {
	if err := d.check(); err != nil {
		return nil, err
	}
	f, err := d.Disk.Create(name)
	return &killableFile{f, d}, err
}

func (d *killableDisk) Open(name string) (cleat.File, error) {
	if err := d.check(); err != nil {
		return nil, err
	}
	f, err := d.Disk.Open(name)
	return &killableFile{f, d}, err
}

func (d *killableDisk) Rename(from, to string) error {
	if err := d.check(); err != nil {
		return err
	}
	return d.Disk.Rename(from, to)
}

func (d *killableDisk) Remove(name string) error {
	if err := d.check(); err != nil {
		return err
	}
	return d.Disk.Remove(name)
}

type killableFile struct {
	cleat.File
	disk *killableDisk
}

func (f *killableFile) Write(b []byte) (int, error) {
	if err := f.disk.check(); err != nil {
		return 0, err
	}
	return f.File.Write(b)
}

func (f *killableFile) Sync() error {
	if err := f.disk.check(); err != nil {
		return err
	}
	return f.File.Sync()
}

func (f *killableFile) Truncate(size int64) error {
	if err := f.disk.check(); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

// instance is a control instance under test.
type instance struct {
	cfg   ctrl.Config
	role  *ctrl.Role
	disk  *killableDisk
	ended chan error
}

func linkConfig() wire.Config {
	return wire.Config{Key: []byte("a key of sixteen bytes or more")}
}

func newInstance(id string, initial []cleat.InstanceID, folder, controlFile string) *instance {
	return &instance{cfg: ctrl.Config{
		ID: cleat.InstanceID(id), Domain: cleat.DomainID("d-" + id), Listen: "127.0.0.1:0", HTTP: "127.0.0.1:0",
		DataFolder: filepath.Join(folder, id), ControlFile: controlFile, InitialInstances: initial, Wire: linkConfig(),
		OrderInterval: 300 * time.Millisecond,
	}}
}

func (i *instance) start() {
	folder, err := store.NewFolder(filepath.Join(i.cfg.DataFolder, "log"))
	Expect(err).NotTo(HaveOccurred())
	i.disk = &killableDisk{Disk: folder}
	if i.cfg.Disk == nil {
		i.cfg.Disk = i.disk
	}
	i.role, err = ctrl.Open(i.cfg, newLogger(i.cfg.ID))
	Expect(err).NotTo(HaveOccurred())
	i.ended = make(chan error, 1)
	role, ended := i.role, i.ended
	go func() { ended <- role.Run() }()
}

// kill stops the instance as a crash would: nothing more is written to its disk.
func (i *instance) kill() {
	i.disk.kill()
	i.stop()
}

func (i *instance) stop() {
	i.role.Close()
	Eventually(i.ended, eventuallyTimeout).Should(Receive())
	if i.cfg.Disk == i.disk {
		i.cfg.Disk = nil
	}
}

func (i *instance) url() string { return "http://" + i.role.HTTPAddr() }

func newLogger(id cleat.InstanceID) *log.Logger {
	w := io.Writer(io.Discard)
	if os.Getenv("CTRL_TEST_LOG") != "" {
		w = GinkgoWriter
	}
	return log.NewWithOptions(w, log.Options{Level: log.DebugLevel, ReportTimestamp: true}).With("instance", id)
}

// fleet is one to three control instances on loopback.
type fleet struct {
	folder    string
	instances []*instance
	token     string
}

func newFleet(ids ...string) *fleet {
	return newConfiguredFleet(func(*ctrl.Config) {}, ids...)
}

func newConfiguredFleet(configure func(*ctrl.Config), ids ...string) *fleet {
	f := &fleet{folder: GinkgoT().TempDir()}
	var initial []cleat.InstanceID
	for _, id := range ids {
		initial = append(initial, cleat.InstanceID(id))
	}
	for _, id := range ids {
		i := newInstance(id, initial, f.folder, f.controlFile())
		configure(&i.cfg)
		i.start()
		f.instances = append(f.instances, i)
	}
	f.writeControlFile()
	Eventually(f.findToken, eventuallyTimeout).Should(BeTrue())
	return f
}

func (f *fleet) controlFile() string { return filepath.Join(f.folder, "controls") }

// writeControlFile writes the control file, from which the instances read each other's
// addresses.
func (f *fleet) writeControlFile() {
	Expect(os.WriteFile(f.controlFile(), []byte(strings.Join(f.addrs(), "\n")+"\n"), 0o600)).To(Succeed())
}

func (f *fleet) addrs() []string {
	var addrs []string
	for _, i := range f.instances {
		addrs = append(addrs, i.role.Addr())
	}
	return addrs
}

func (f *fleet) findToken() bool {
	for _, i := range f.instances {
		if token, ok := i.role.RootToken(); ok {
			f.token = token
		}
	}
	return f.token != ""
}

func (f *fleet) client() *admin.Client {
	var urls []string
	for _, i := range f.instances {
		urls = append(urls, i.url())
	}
	return admin.NewClient(urls, f.token)
}

func (f *fleet) stop() {
	for _, i := range f.instances {
		i.stop()
	}
}

// startNode connects a node and returns it with a function that stops it.
func (f *fleet) startNode(id string, role cleat.Role, cfg node.Config, configure func(*node.Client)) (*node.Client, func()) {
	peer := cleat.Peer{Instance: cleat.InstanceID(id), Incarnation: cleat.NewIncarnation(time.Now()), Role: role, Domain: "d"}
	cfg.Controls = f.addrs()
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = 100 * time.Millisecond
	}
	c := node.New(cfg, linkConfig(), func() cleat.Peer { return peer }, cleat.SystemClock{}, newLogger(peer.Instance))
	if configure != nil {
		configure(c)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	return c, func() {
		cancel()
		Eventually(ended, eventuallyTimeout).Should(Receive(BeNil()))
	}
}
