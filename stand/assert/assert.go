package assert

import (
	"fmt"
	"sort"
	"sync"
)

// Hook receives the name of a violated invariant and a message with the details.
type Hook func(name, msg string)

// ViolationCount is the number of violations of one invariant.
type ViolationCount struct {
	Name string
	N    uint64
}

var (
	mu     sync.Mutex // Guards hook and counts; acquired after all other locks, never held while the hook runs.
	hook   Hook
	counts = map[string]uint64{}
)

// SetHook replaces the hook and returns a function that restores the previous one.
func SetHook(h Hook) func() {
	mu.Lock()
	defer mu.Unlock()
	previous := hook
	hook = h
	return func() {
		mu.Lock()
		defer mu.Unlock()
		hook = previous
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

// Counts returns the violation count of each violated invariant, sorted by name.
func Counts() []ViolationCount {
	mu.Lock()
	defer mu.Unlock()
	list := make([]ViolationCount, 0, len(counts))
	for name, n := range counts {
		list = append(list, ViolationCount{Name: name, N: n})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}
