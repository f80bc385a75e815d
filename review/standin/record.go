package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the seconds since the start.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	buf  *bufio.Writer
}

func newRecord(f *os.File) *record {
	return &record{start: time.Now(), file: f, buf: bufio.NewWriter(f)}
}

// notef writes a line and copies it to standard output.
func (r *record) notef(format string, args ...any) {
	line := r.line(format, args...)
	fmt.Println(line)
	r.write(line)
}

// logf writes a line.
func (r *record) logf(format string, args ...any) { r.write(r.line(format, args...)) }

func (r *record) line(format string, args ...any) string {
	return fmt.Sprintf("%8.4f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
}

func (r *record) write(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.buf != nil {
		_, _ = r.buf.WriteString(line + "\n") // A failed write is seen in the record's missing end.
	}
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.buf.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, "standin: the record is not complete:", err)
	}
	_ = r.file.Close()
	r.buf = nil
}
