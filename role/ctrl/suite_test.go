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

const patience = 30 * time.Second

// deadDisk is a folder that can be cut off as a lost process loses it.
type deadDisk struct {
	cleat.Disk
	mu   sync.Mutex
	dead bool
}

func (d *deadDisk) die() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dead = true
}

func (d *deadDisk) check() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dead {
		return trace.ConnectionProblem(nil, "the process is gone")
	}
	return nil
}

func (d *deadDisk) Create(name string) (cleat.File, error) {
	if err := d.check(); err != nil {
		return nil, err
	}
	f, err := d.Disk.Create(name)
	return &deadFile{f, d}, err
}

func (d *deadDisk) Open(name string) (cleat.File, error) {
	if err := d.check(); err != nil {
		return nil, err
	}
	f, err := d.Disk.Open(name)
	return &deadFile{f, d}, err
}

func (d *deadDisk) Rename(from, to string) error {
	if err := d.check(); err != nil {
		return err
	}
	return d.Disk.Rename(from, to)
}

func (d *deadDisk) Remove(name string) error {
	if err := d.check(); err != nil {
		return err
	}
	return d.Disk.Remove(name)
}

type deadFile struct {
	cleat.File
	disk *deadDisk
}

func (f *deadFile) Write(b []byte) (int, error) {
	if err := f.disk.check(); err != nil {
		return 0, err
	}
	return f.File.Write(b)
}

func (f *deadFile) Sync() error {
	if err := f.disk.check(); err != nil {
		return err
	}
	return f.File.Sync()
}

func (f *deadFile) Truncate(size int64) error {
	if err := f.disk.check(); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

// instance is a control instance under test.
type instance struct {
	cfg   ctrl.Config
	role  *ctrl.Role
	disk  *deadDisk
	ended chan error
}

func links() wire.Config {
	return wire.Config{Key: []byte("a key of sixteen bytes or more")}
}

func newInstance(id string, first []cleat.InstanceID, folder, controlFile string) *instance {
	return &instance{cfg: ctrl.Config{
		ID: cleat.InstanceID(id), Domain: cleat.DomainID("d-" + id), Listen: "127.0.0.1:0", HTTP: "127.0.0.1:0",
		DataFolder: filepath.Join(folder, id), ControlFile: controlFile, First: first, Wire: links(),
		OrderInterval: 300 * time.Millisecond,
	}}
}

func (i *instance) start() {
	folder, err := store.NewFolder(filepath.Join(i.cfg.DataFolder, "log"))
	Expect(err).NotTo(HaveOccurred())
	i.disk = &deadDisk{Disk: folder}
	if i.cfg.Disk == nil {
		i.cfg.Disk = i.disk
	}
	i.role, err = ctrl.Open(i.cfg, quiet(i.cfg.ID))
	Expect(err).NotTo(HaveOccurred())
	i.ended = make(chan error, 1)
	role, ended := i.role, i.ended
	go func() { ended <- role.Run() }()
}

// kill ends the instance without any farewell: nothing is written any more.
func (i *instance) kill() {
	i.disk.die()
	i.stop()
}

func (i *instance) stop() {
	i.role.Close()
	Eventually(i.ended, patience).Should(Receive())
	if i.cfg.Disk == i.disk {
		i.cfg.Disk = nil
	}
}

func (i *instance) url() string { return "http://" + i.role.HTTPAddr() }

func quiet(id cleat.InstanceID) *log.Logger {
	w := io.Writer(io.Discard)
	if os.Getenv("CTRL_TEST_LOG") != "" {
		w = GinkgoWriter
	}
	return log.NewWithOptions(w, log.Options{Level: log.DebugLevel, ReportTimestamp: true}).With("instance", id)
}

// fleet is three control instances on loopback.
type fleet struct {
	folder    string
	instances []*instance
	token     string
}

func newFleet(ids ...string) *fleet {
	return newTunedFleet(func(*ctrl.Config) {}, ids...)
}

func newTunedFleet(tune func(*ctrl.Config), ids ...string) *fleet {
	f := &fleet{folder: GinkgoT().TempDir()}
	var first []cleat.InstanceID
	for _, id := range ids {
		first = append(first, cleat.InstanceID(id))
	}
	for _, id := range ids {
		i := newInstance(id, first, f.folder, f.controlFile())
		tune(&i.cfg)
		i.start()
		f.instances = append(f.instances, i)
	}
	f.announce()
	Eventually(f.findToken, patience).Should(BeTrue())
	return f
}

func (f *fleet) controlFile() string { return filepath.Join(f.folder, "controls") }

// announce tells the instances each other's addresses.
func (f *fleet) announce() {
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

// startNode connects a node and returns it with what ends it.
func (f *fleet) startNode(id string, role cleat.Role, cfg node.Config, set func(*node.Client)) (*node.Client, func()) {
	peer := cleat.Peer{Instance: cleat.InstanceID(id), Incarnation: cleat.NewIncarnation(time.Now()), Role: role, Domain: "d"}
	cfg.Controls = f.addrs()
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = 100 * time.Millisecond
	}
	c := node.New(cfg, links(), func() cleat.Peer { return peer }, cleat.SystemClock{}, quiet(peer.Instance))
	if set != nil {
		set(c)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	return c, func() {
		cancel()
		Eventually(ended, patience).Should(Receive(BeNil()))
	}
}
