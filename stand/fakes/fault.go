package fakes

import (
	"fmt"
	"net"
	"net/http"
)

// FaultKind is the kind of a fault that a stand-in injects.
type FaultKind string

// Kinds of faults that stand-ins inject.
const (
	FaultNone     FaultKind = ""
	FaultReset    FaultKind = "reset"     // The connection is reset.
	FaultHang     FaultKind = "hang"      // Nothing more is sent; the connection stays open.
	FaultGarbage  FaultKind = "garbage"   // Bytes that are not HTTP are sent.
	FaultHalfLine FaultKind = "half_line" // The response ends cleanly in the middle of an event.
	FaultStatus   FaultKind = "status"    // The response has status 503, unless its header was already sent.
)

// Fault describes the fault to inject into the following requests.
type Fault struct {
	Kind        FaultKind
	AfterTokens int // Tokens generated before the fault; zero injects it before the response header. Plain ignores it.
	Times       int // Number of requests affected; zero means all.
}

// faults holds the configured fault and how many more requests it affects.
type faults struct {
	fault     Fault
	remaining int // Requests still to be affected; not used if fault.Times is zero.
}

func (f *faults) set(fault Fault) {
	f.fault = fault
	f.remaining = fault.Times
}

func (f *faults) next() Fault {
	fault := f.fault
	if fault.Kind == FaultNone || fault.Times == 0 {
		return fault
	}
	if f.remaining--; f.remaining == 0 {
		f.fault = Fault{}
	}
	return fault
}

// apply injects the fault into the response to r.
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
