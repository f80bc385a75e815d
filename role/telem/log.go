package telem

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
)

// NewLogger returns a logger that writes to w with the level and format of f, or a
// trace.BadParameter error that names the invalid flag.
func NewLogger(w io.Writer, f *Flags) (*log.Logger, error) {
	level, err := log.ParseLevel(f.LogLevel)
	if err != nil {
		return nil, trace.BadParameter("NewLogger: --log-level: %v", err)
	}
	format, ok := formatters[f.LogFormat]
	if !ok {
		return nil, trace.BadParameter("NewLogger: --log-format must be text, logfmt or json, not %q", f.LogFormat)
	}
	l := log.NewWithOptions(w, log.Options{
		Level:           level,
		Formatter:       format,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
	})
	return l.With("instance", f.ID), nil
}

var formatters = map[string]log.Formatter{
	"text":   log.TextFormatter,
	"logfmt": log.LogfmtFormatter,
	"json":   log.JSONFormatter,
}
