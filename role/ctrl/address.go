package ctrl

import (
	"bufio"
	"context"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"marigoldcleat.example/cleat/link/wire"
)

// Files in the data folder, and the subfolder of the replicated log.
const (
	listenFile    = "listen.addr"
	httpFile      = "http.addr"
	rootTokenFile = "root-token"
	logFolder     = "log"
)

// bind listens on the address for links, the address for operators and, if there is one,
// that of the additional API. For the first two, port 0 prefers the address of the last
// start, so that it can still be reached there.
func (r *Role) bind() error {
	var err error
	r.server, err = listenOnSavedAddress(r.cfg.Listen, r.dataPath(listenFile), func(addr string) (*wire.Server, string, error) {
		s, err := wire.Listen(r.cfg.Wire, addr, r.identity, r, r.log)
		if err != nil {
			return nil, "", err
		}
		return s, s.Addr(), nil
	})
	if err != nil {
		return trace.Wrap(err, "Role.bind")
	}
	r.self.Address = r.server.Addr()
	r.httpListener, err = listenOnSavedAddress(r.cfg.HTTP, r.dataPath(httpFile), func(addr string) (net.Listener, string, error) {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, "", err
		}
		return l, l.Addr().String(), nil
	})
	if err == nil && r.cfg.Extra != nil {
		r.extraListener, err = net.Listen("tcp", r.cfg.ExtraHTTP)
	}
	if err != nil {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		return trace.NewAggregate(err, r.server.Shutdown(ctx))
	}
	return nil
}

// listenOnSavedAddress listens on the address saved in file if addr has port 0 and the
// saved address is still free. Otherwise it listens on addr and saves the bound address.
func listenOnSavedAddress[T any](addr, file string, listen func(addr string) (T, string, error)) (T, error) {
	if last, ok := savedAddress(addr, file); ok {
		if t, _, err := listen(last); err == nil {
			return t, nil
		}
	}
	t, bound, err := listen(addr)
	if err != nil {
		return t, err
	}
	return t, trace.ConvertSystemError(os.WriteFile(file, []byte(bound+"\n"), 0o644))
}

// savedAddress returns the address of the last start if addr has port 0 and the same host.
func savedAddress(addr, file string) (string, bool) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || port != "0" {
		return "", false
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return "", false
	}
	last := strings.TrimSpace(string(b))
	lastHost, _, err := net.SplitHostPort(last)
	return last, err == nil && lastHost == host
}

func (r *Role) dataPath(name string) string {
	return filepath.Join(r.cfg.DataFolder, name)
}

// dialLoop keeps links to the other control instances: the configured ones and
// those in the control file, which is read again periodically.
func (r *Role) dialLoop(ctx context.Context) error {
	r.mu.Lock()
	addrs := slices.Clone(r.cfg.Controls)
	r.mu.Unlock()
	for _, addr := range addrs {
		r.dial(addr)
	}
	known := make(map[string]bool)
	for {
		r.syncControlFile(known)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(ControlFileInterval):
		}
	}
}

// dial keeps a link to an address unless it is this instance's own.
func (r *Role) dial(addr string) {
	if addr != r.self.Address {
		r.dialer.AddAddress(addr)
	}
}

// SetControls replaces the configured link addresses of other control instances.
// Existing links, such as those to members of the log, are kept.
func (r *Role) SetControls(addrs []string) {
	r.mu.Lock()
	r.cfg.Controls = slices.Clone(addrs)
	r.mu.Unlock()
	for _, addr := range addrs {
		r.dial(addr)
	}
}

// syncControlFile dials the addresses added to the control file and drops those
// removed from it; known holds the addresses last read. While the file can't be read,
// existing links stay.
func (r *Role) syncControlFile(known map[string]bool) {
	if r.cfg.ControlFile == "" {
		return
	}
	addrs, err := readAddresses(r.cfg.ControlFile)
	if err != nil {
		r.log.Debug("control file not read", "err", err)
		return
	}
	for addr := range known {
		if !addrs[addr] {
			r.dialer.RemoveAddress(addr)
			delete(known, addr)
		}
	}
	for addr := range addrs {
		if !known[addr] {
			known[addr] = true
			r.dial(addr)
		}
	}
}

// readAddresses reads a control file; lines that are not host:port are skipped.
func readAddresses(name string) (map[string]bool, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer f.Close()
	addrs := make(map[string]bool)
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		addr := strings.TrimSpace(lines.Text())
		if _, _, err := net.SplitHostPort(addr); err == nil {
			addrs[addr] = true
		}
	}
	return addrs, trace.Wrap(lines.Err())
}
