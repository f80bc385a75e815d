package assert

import (
	"fmt"
	"sort"
	"sync"
)

// Hook receives the name of a violated invariant and what was seen.
type Hook func(name, msg string)

// Counted is how often one invariant was violated.
type Counted struct {
	Name string
	N    uint64
}

var (
	mu     sync.Mutex // Guards hook and counts; taken last, never held while the hook runs.
	hook   Hook
	counts = map[string]uint64{}
)

// SetHook replaces the hook and returns a function that restores the former one.
func SetHook(h Hook) func() {
	mu.Lock()
	defer mu.Unlock()
	former := hook
	hook = h
	return func() {
		mu.Lock()
		defer mu.Unlock()
		hook = former
	}
}

// Fail reports that the invariant called name does not hold.
func Fail(name, format string, args ...any) {
	mu.Lock()
	counts[name]++
	h := hook
	mu.Unlock()
	if h != nil {
		h(name, fmt.Sprintf(format, args...))
	}
}

// Count returns how often the invariant called name was violated.
func Count(name string) uint64 {
	mu.Lock()
	defer mu.Unlock()
	return counts[name]
}

// Total returns the number of violations of all invariants.
func Total() uint64 {
	mu.Lock()
	defer mu.Unlock()
	var n uint64
	for _, c := range counts {
		n += c
	}
	return n
}

// Counts returns the violated invariants, sorted by name.
func Counts() []Counted {
	mu.Lock()
	defer mu.Unlock()
	list := make([]Counted, 0, len(counts))
	for name, n := range counts {
		list = append(list, Counted{Name: name, N: n})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}
