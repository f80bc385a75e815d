package telem_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/charmbracelet/log"
	"github.com/labstack/echo/v4"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldcleat.example/cleat"
	"marigoldcleat.example/cleat/role/telem"
)

var _ = Describe("Flags", func() {
	key := "--fleet-key=0123456789abcdef"
	cases := map[string]struct {
		args []string
		flag string // The flag that the error names; empty when the flags are valid.
	}{
		"valid flags":      {[]string{"--id=a", key}, ""},
		"no secret":        {[]string{"--id=a"}, "--fleet-key"},
		"short key":        {[]string{"--id=a", "--fleet-key=short"}, "--fleet-key"},
		"incomplete TLS":   {[]string{"--id=a", "--tls-cert=x"}, "--tls-cert"},
		"no port":          {[]string{"--id=a", key, "--listen=localhost"}, "--listen"},
		"no HTTP port":     {[]string{"--id=a", key, "--http=localhost"}, "--http"},
		"no control port":  {[]string{"--id=a", key, "--control=localhost"}, "--control"},
		"empty id":         {[]string{"--id=", key}, "--id"},
		"empty domain":     {[]string{"--id=a", key, "--domain="}, "--domain"},
		"empty fleet name": {[]string{"--id=a", key, "--fleet="}, "--fleet"},
	}
	for name, c := range cases {
		It("validates flags: "+name, func() {
			app := kingpin.New("test", "")
			f := telem.RegisterFlags(app)
			_, err := app.Parse(c.args)
			Expect(err).NotTo(HaveOccurred())
			if c.flag == "" {
				Expect(f.Validate()).To(Succeed())
			} else {
				Expect(f.Validate()).To(MatchError(ContainSubstring(c.flag)))
			}
		})
	}

	It("writes the complete address file", func() {
		f := &telem.Flags{AddrFile: filepath.Join(GinkgoT().TempDir(), "addr")}
		Expect(f.WriteAddrs(telem.Addr{Name: "http", Address: "127.0.0.1:1"})).To(Succeed())
		b, err := os.ReadFile(f.AddrFile)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(b)).To(Equal(`{"name":"http","address":"127.0.0.1:1"}` + "\n"))
	})
})

var _ = Describe("Metrics", func() {
	It("limits the number of series and counts further ones as other", func() {
		m := telem.NewMetrics(cleat.RoleEntry, log.New(io.Discard))
		for i := range telem.MaxSeries + 10 {
			m.Series(cleat.WorkspaceID(fmt.Sprintf("team/w-%d", i)), "chat").Wait(time.Millisecond)
		}
		Expect(m.Close()).To(Succeed())
		text := get(m.Handler())
		Expect(strings.Count(text, "cleat_entry_wait_seconds_count{")).To(Equal(telem.MaxSeries + 1))
		Expect(text).To(ContainSubstring(`cleat_entry_wait_seconds_count{class="other",workspace="other"} 10`))
		Expect(text).To(ContainSubstring(`workspace="team/w-3"`))
	})

	It("counts refusals by reason", func() {
		m := telem.NewMetrics(cleat.RoleEntry, log.New(io.Discard))
		m.CountRefusal("team/a", cleat.ReasonQueueFull)
		m.CountRefusal("team/a", cleat.ReasonQueueFull)
		Expect(m.Close()).To(Succeed())
		Expect(get(m.Handler())).To(ContainSubstring(`cleat_entry_refusals{reason="queue_full",workspace="team/a"} 2`))
	})
})

func get(h http.Handler) string {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	return w.Body.String()
}

var _ = Describe("Health", func() {
	It("is not ready while draining", func() {
		h := telem.NewHealth(func() (bool, string) { return true, "" })
		e := echo.New()
		telem.Mount(e, h, telem.NewMetrics(cleat.RoleEntry, log.New(io.Discard)))
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, telem.PathReady, nil))
		Expect(w.Code).To(Equal(http.StatusOK))
		h.Drain()
		w = httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, telem.PathReady, nil))
		Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
	})
})

type stubDaemon struct {
	drained, closed chan struct{}
	returnsOnDrain  bool // Whether Run returns once drained; otherwise only once closed.
}

func (d *stubDaemon) Run() error {
	select {
	case <-d.drained:
		if d.returnsOnDrain {
			return nil
		}
	case <-d.closed:
		return nil
	}
	<-d.closed
	return nil
}
func (d *stubDaemon) Drain()            { close(d.drained) }
func (d *stubDaemon) Close()            { close(d.closed) }
func (d *stubDaemon) Abandoned() string { return "3 running" }

var _ = Describe("RunDaemon", func() {
	cases := map[string]struct {
		returnsOnDrain bool
		signals        int
		fails          bool
		logs           string
	}{
		"drains on the first signal":                    {returnsOnDrain: true, signals: 1, logs: "shutting down"},
		"logs what is abandoned on the second signal":   {returnsOnDrain: false, signals: 2, fails: true, logs: "3 running"},
		"returns when the daemon ends without a signal": {returnsOnDrain: true, signals: 0},
	}
	for name, c := range cases {
		It(name, func() {
			var out strings.Builder
			d := &stubDaemon{drained: make(chan struct{}), closed: make(chan struct{}), returnsOnDrain: c.returnsOnDrain}
			signals := make(chan os.Signal, 2)
			for range c.signals {
				signals <- syscall.SIGTERM
			}
			if c.signals == 0 {
				d.Drain()
			}
			err := telem.RunDaemonWith(log.New(&out), signals, d)
			Expect(err != nil).To(Equal(c.fails))
			Expect(out.String()).To(ContainSubstring(c.logs))
		})
	}
})
