package cleat

import (
	"sort"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// ServiceName identifies a service: a set of upstreams that serve the same requests.
type ServiceName string

// RouteKind states how requests of a route are answered and whether they may be retried.
type RouteKind string

// The kinds of routes.
const (
	RouteSafe   RouteKind = "safe"   // Idempotent: may run more than once.
	RouteUnsafe RouteKind = "unsafe" // Runs at most once.
	RouteStream RouteKind = "stream" // Answers with an event stream; runs at most once unless Resumable.
)

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name        string
	Host        string // Lower case, without a port.
	Prefix      string // Begins and ends with a slash.
	Kind        RouteKind
	Timeout     time.Duration // Maximum time until the complete answer.
	Target      time.Duration // Target latency of the answer, or of the first event of a stream.
	MaxGap      time.Duration // Maximum time between events of a stream; zero when not stated.
	Rank        int           // Lower is served first.
	MaxAttempts int           // Maximum number of upstreams that one request may be sent to.
	Public      bool          // Requires no workspace key.
	Resumable   bool          // Another upstream can resume a stream after its last event.
	Affinity    bool          // Requests list the prefix blocks of their prompts, which upstreams cache.
	Split       []SplitWeight
}

// SplitWeight is the weight of a service in the split of a route's requests.
type SplitWeight struct {
	Service ServiceName
	Weight  float64
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == RouteSafe || (r.Kind == RouteStream && r.Resumable)
}

// Allows reports whether the route sends requests to a service.
func (r *Route) Allows(s ServiceName) bool {
	for _, w := range r.Split {
		if w.Service == s && w.Weight > 0 {
			return true
		}
	}
	return false
}

// Service is the configuration of a service in a manifest.
type Service struct {
	Name     ServiceName
	MaxConns int          // Connections that each upstream accepts from the whole fleet.
	Engine   *ModelEngine // Nil for a plain service.

	ColdStart  time.Duration // How long an upstream is cold after its start; zero with ColdPerSec.
	ColdPerSec float64       // Requests/s that an upstream tolerates while it is cold; zero for no limit.
}

// ModelEngine describes the upstreams of a service that runs a model.
type ModelEngine struct {
	Slots        int // Maximum batch size, in requests.
	MemoryTokens int // Cache memory, in tokens, shared by running requests and cached prefix blocks.
	EventTokens  int // Tokens per event of a stream.

	// FetchTokensPerMS is the rate at which one upstream can fetch cached prefix blocks
	// from another, in tokens/ms; zero when they can't.
	FetchTokensPerMS float64
}

// WorkspaceKeys lists the keys of a workspace in a manifest.
type WorkspaceKeys struct {
	Name WorkspaceID
	Keys []string
	Rank int // Overrides the route's rank when HasRank is set.

	HasRank bool
}

// CallerLimits bounds the requests of callers, and states the fleet's capacity.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	TokensPerSec   float64 // Capacity of all upstreams of the fleet together; zero when not stated.
}

// RouteTable is a decoded manifest. It is shared, and immutable once Index has been called.
type RouteTable struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []WorkspaceKeys
	Limits     CallerLimits

	byHost   map[string][]*Route // Longest prefix first.
	byKey    map[string]*WorkspaceKeys
	revoked  map[string]RevokedKey
	services map[ServiceName]*Service
}

// Validate returns a trace.BadParameter error that describes the first fault.
func (t *RouteTable) Validate() error {
	services := make(map[ServiceName]bool, len(t.Services))
	for i := range t.Services {
		services[t.Services[i].Name] = true
	}
	routesByLocation := make(map[string]string, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := r.validate(services); err != nil {
			return trace.Wrap(err)
		}
		location := r.Host + " " + r.Prefix
		if other, taken := routesByLocation[location]; taken {
			return trace.BadParameter("RouteTable.Validate: routes %q and %q share host and prefix", other, r.Name)
		}
		routesByLocation[location] = r.Name
	}
	return t.validateKeys()
}

func (r *Route) validate(services map[ServiceName]bool) error {
	if r.Timeout <= 0 {
		return trace.BadParameter("Route.validate: route %q has no timeout", r.Name)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return trace.BadParameter("Route.validate: the prefix of route %q must begin and end with a slash", r.Name)
	}
	if r.Kind != RouteSafe && r.Kind != RouteUnsafe && r.Kind != RouteStream {
		return trace.BadParameter("Route.validate: route %q has the unknown kind %q", r.Name, r.Kind)
	}
	sum := 0.0
	for _, w := range r.Split {
		if !services[w.Service] {
			return trace.BadParameter("Route.validate: route %q names the unknown service %q", r.Name, w.Service)
		}
		if w.Weight < 0 {
			return trace.BadParameter("Route.validate: route %q has a negative weight", r.Name)
		}
		sum += w.Weight
	}
	if sum <= 0 {
		return trace.BadParameter("Route.validate: the weights of route %q add up to zero", r.Name)
	}
	return nil
}

func (t *RouteTable) validateKeys() error {
	owners := make(map[string]WorkspaceID)
	for i := range t.Workspaces {
		w := &t.Workspaces[i]
		for _, key := range w.Keys {
			if other, taken := owners[key]; taken && other != w.Name {
				return trace.BadParameter("RouteTable.Validate: workspaces %q and %q share a key", other, w.Name)
			}
			owners[key] = w.Name
		}
	}
	return nil
}

// Index builds the lookup maps. Call it once, before the table is shared.
func (t *RouteTable) Index() {
	t.byHost = make(map[string][]*Route)
	for i := range t.Routes {
		r := &t.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		sort.Slice(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	t.byKey = make(map[string]*WorkspaceKeys)
	for i := range t.Workspaces {
		for _, key := range t.Workspaces[i].Keys {
			t.byKey[key] = &t.Workspaces[i]
		}
	}
	t.services = make(map[ServiceName]*Service, len(t.Services))
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
}

// Match returns the route of a host, given without a port, whose prefix is the longest that matches path.
func (t *RouteTable) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// WorkspaceByKey returns the workspace that owns a key.
func (t *RouteTable) WorkspaceByKey(key string) (*WorkspaceKeys, bool) {
	w, ok := t.byKey[key]
	return w, ok
}

// RevokedKey is a key that a workspace no longer has.
type RevokedKey struct {
	Workspace WorkspaceID
	Version   uint64 // The first version without the key.
}

// maxRevokedKeys bounds the revoked keys that a table remembers.
const maxRevokedKeys = 1024

// RecordRevoked takes over from the table before it which keys were revoked. Call it
// before the table is shared; previous may be nil.
func (t *RouteTable) RecordRevoked(previous *RouteTable) {
	if previous == nil {
		return
	}
	t.revoked = make(map[string]RevokedKey)
	for key, w := range previous.byKey {
		if t.byKey[key] == nil && len(t.revoked) < maxRevokedKeys {
			t.revoked[key] = RevokedKey{Workspace: w.Name, Version: t.Version}
		}
	}
	for key, r := range previous.revoked {
		if t.byKey[key] == nil && len(t.revoked) < maxRevokedKeys {
			t.revoked[key] = r
		}
	}
}

// RevokedKey returns which workspace last had a key that no workspace has now.
func (t *RouteTable) RevokedKey(key string) (RevokedKey, bool) {
	r, ok := t.revoked[key]
	return r, ok
}

// ServiceByName returns the service of that name.
func (t *RouteTable) ServiceByName(name ServiceName) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}
