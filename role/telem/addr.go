package telem

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/gravitational/trace"
)

// Addr is a bound address of a daemon; each is one line of the address file.
type Addr struct {
	Name    string `json:"name"` // "listen" or "http".
	Address string `json:"address"`
}

// WriteAddrs writes the bound addresses to the address file atomically. It does
// nothing when --addr-file is not set.
func (f *Flags) WriteAddrs(addrs ...Addr) error {
	if f.AddrFile == "" {
		return nil
	}
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	for _, a := range addrs {
		if err := enc.Encode(a); err != nil {
			return trace.Wrap(err, "Flags.WriteAddrs:")
		}
	}
	temp := f.AddrFile + ".tmp"
	if err := os.WriteFile(temp, buf.Bytes(), 0o644); err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := os.Rename(temp, f.AddrFile); err != nil {
		return trace.ConvertSystemError(err)
	}
	return nil
}
