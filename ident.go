package cleat

import (
	"fmt"
	"strings"
	"time"
)

// InstanceID names one process of the fleet; it survives restarts.
type InstanceID string

// DomainID names a failure domain.
type DomainID string

// WorkspaceID names a workspace as "team/name".
type WorkspaceID string

// UpstreamID names an upstream as it announced itself.
type UpstreamID string

// ModelID names a model, or the pool name of a plain service.
type ModelID string

// ClassName names a request class.
type ClassName string

// RequestID names one caller's request, fleet-wide.
type RequestID string

// Incarnation distinguishes the lives of one instance; it rises with each start.
type Incarnation uint64

// Revision numbers an accepted change of the settings; it only rises.
type Revision uint64

// Fence is a fencing number; an order with a lower one than seen is refused.
type Fence uint64

// Role is the part an instance plays in the fleet.
type Role string

// The roles of an instance.
const (
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
	RoleControl Role = "control"
	RoleClient  Role = "client"
)

// NewIncarnation derives an incarnation from the start time, in nanoseconds.
func NewIncarnation(now time.Time) Incarnation {
	return Incarnation(now.UnixNano())
}

// Attempt names one dispatch of a request; numbers start at 1.
type Attempt struct {
	Request RequestID `msgpack:"r"`
	Number  uint32    `msgpack:"n"`
}

// String returns "request#number".
func (a Attempt) String() string {
	return fmt.Sprintf("%s#%d", a.Request, a.Number)
}

// Team returns the team part of the workspace's name.
func (w WorkspaceID) Team() string {
	team, _, _ := strings.Cut(string(w), "/")
	return team
}
