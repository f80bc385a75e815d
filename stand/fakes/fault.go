package fakes

import (
	"fmt"
	"net"
	"net/http"
)

// FaultKind names how a stand-in misbehaves.
type FaultKind string

// The faults of stand-ins.
const (
	FaultNone     FaultKind = ""
	FaultReset    FaultKind = "reset"     // The connection is reset.
	FaultHang     FaultKind = "hang"      // Nothing more is sent.
	FaultGarbage  FaultKind = "garbage"   // Bytes that are no HTTP are sent.
	FaultHalfLine FaultKind = "half_line" // The stream ends properly, but inside an event.
	FaultStatus   FaultKind = "status"    // Status 503 is answered.
)

// Fault is how the following requests go wrong.
type Fault struct {
	Kind        FaultKind
	AfterTokens int // Tokens streamed before; zero breaks before the answer's header.
	Times       int // Requests that go wrong; zero means all.
}

// faults hands the configured fault to requests.
type faults struct {
	fault Fault
	left  int
}

func (f *faults) set(fault Fault) {
	f.fault = fault
	f.left = fault.Times
}

func (f *faults) next() Fault {
	fault := f.fault
	if fault.Kind == FaultNone || fault.Times == 0 {
		return fault
	}
	if f.left--; f.left == 0 {
		f.fault = Fault{}
	}
	return fault
}

// apply carries the fault out on an answer under way.
func (f Fault) apply(w http.ResponseWriter, r *http.Request) {
	switch f.Kind {
	case FaultHang:
		<-r.Context().Done()
	case FaultHalfLine:
		_, _ = fmt.Fprint(w, `data: {"id":"x","choices":[{"delta":{"cont`)
	case FaultStatus:
		http.Error(w, `{"error":{"message":"overloaded"}}`, http.StatusServiceUnavailable)
	case FaultReset, FaultGarbage:
		f.breakConn(w)
	}
}

func (f Fault) breakConn(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	if f.Kind == FaultGarbage {
		_, _ = conn.Write([]byte("\x00\xffgarbage\r\n\r\n"))
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
