package cleat

import (
	"context"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/gravitational/trace"
)

const (
	// MaxEvacuations bounds the number of domains that are evacuated at once.
	MaxEvacuations = 256
	// MaxDomainBytes bounds the name of a domain in an evacuation order, in bytes.
	MaxDomainBytes = 255
)

// Evacuation is an order in force that nothing is sent to the upstreams of a domain.
type Evacuation struct {
	Domain          DomainID `msgpack:"d" json:"domain"`
	Revision        uint64   `msgpack:"r" json:"revision"`   // Of the list, since the order.
	OrderedAtMillis int64    `msgpack:"t" json:"ordered_ms"` // Unix time, by the control instance that took the order.
}

// EvacuationList is all evacuations in force, sorted by domain. Each order that changes
// the list increments its revision; revision 0 means that none was ever ordered.
type EvacuationList struct {
	Revision    uint64       `msgpack:"r" json:"revision"`
	Evacuations []Evacuation `msgpack:"e" json:"evacuations"`
}

// ByDomain returns the evacuation of a domain.
func (l EvacuationList) ByDomain(d DomainID) (Evacuation, bool) {
	if i, ok := l.find(d); ok {
		return l.Evacuations[i], true
	}
	return Evacuation{}, false
}

// Domains returns the evacuated domains, sorted.
func (l EvacuationList) Domains() []DomainID {
	domains := make([]DomainID, 0, len(l.Evacuations))
	for _, e := range l.Evacuations {
		domains = append(domains, e.Domain)
	}
	return domains
}

// With returns the list at its next revision with an evacuation added.
func (l EvacuationList) With(d DomainID, atMillis int64) EvacuationList {
	i, ok := l.find(d)
	if ok {
		return l
	}
	next := Evacuation{Domain: d, Revision: l.Revision + 1, OrderedAtMillis: atMillis}
	return EvacuationList{Revision: next.Revision, Evacuations: slices.Insert(slices.Clone(l.Evacuations), i, next)}
}

// Without returns the list at its next revision with an evacuation removed.
func (l EvacuationList) Without(d DomainID) EvacuationList {
	i, ok := l.find(d)
	if !ok {
		return l
	}
	return EvacuationList{Revision: l.Revision + 1, Evacuations: slices.Delete(slices.Clone(l.Evacuations), i, i+1)}
}

func (l EvacuationList) find(d DomainID) (int, bool) {
	return slices.BinarySearchFunc(l.Evacuations, d, func(e Evacuation, d DomainID) int {
		return strings.Compare(string(e.Domain), string(d))
	})
}

// EvacuationResult is the result of an evacuation order or its withdrawal.
type EvacuationResult struct {
	Changed  bool   `msgpack:"c" json:"changed"` // False if the domain was in the requested state already.
	Revision uint64 `msgpack:"r" json:"revision"`
}

// Evacuations stores which failure domains are evacuated.
type Evacuations interface {
	// EvacuateDomain orders an evacuation and returns once a quorum has it; repeating an order
	// changes nothing. A trace.BadParameter error means an invalid name, a trace.LimitExceeded
	// error that the order was certainly not accepted, and a trace.ConnectionProblem error that
	// its outcome is unknown.
	EvacuateDomain(ctx context.Context, d DomainID) (EvacuationResult, error)
	// RestoreDomain withdraws an order in the same way. A domain that isn't evacuated stays so.
	RestoreDomain(ctx context.Context, d DomainID) (EvacuationResult, error)
	// ListEvacuations returns the evacuations in force, confirmed by a quorum.
	ListEvacuations(ctx context.Context) (EvacuationList, error)
}

// CheckDomain returns a trace.BadParameter error for a name that no order may have: an
// empty or long one, or one with slashes, control characters or invalid UTF-8.
func CheckDomain(d DomainID) error {
	switch s := string(d); {
	case s == "":
		return trace.BadParameter("CheckDomain: the name of the domain is empty")
	case len(s) > MaxDomainBytes:
		return trace.BadParameter("CheckDomain: the name of the domain has %d bytes, more than %d", len(s), MaxDomainBytes)
	case !utf8.ValidString(s) || strings.ContainsRune(s, '/') || strings.ContainsFunc(s, unicode.IsControl):
		return trace.BadParameter("CheckDomain: the name %q has slashes, control characters or invalid UTF-8", s)
	}
	return nil
}

// EvacuationUpdate tells an entry which domains are evacuated. It is sent on a link
// before any manifest confirmed later, and only once an evacuation was ever ordered. It
// has no interned strings, so that builds that don't know it can skip it.
type EvacuationUpdate struct {
	Revision uint64     `msgpack:"r"`
	Domains  []DomainID `msgpack:"d"` // All of them.
}
