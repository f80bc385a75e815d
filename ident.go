package cleat

import (
	"fmt"
	"strings"
	"time"
)

// InstanceID identifies a process of the fleet; it stays the same across restarts.
type InstanceID string

// DomainID identifies a failure domain.
type DomainID string

// WorkspaceID identifies a workspace as "team/name".
type WorkspaceID string

// UpstreamID identifies an upstream, as given in its announcement.
type UpstreamID string

// ModelID names a model, or a pool of plain services.
type ModelID string

// ClassName names a request class.
type ClassName string

// RequestID identifies a caller's request across the fleet.
type RequestID string

// Incarnation distinguishes the runs of one instance; it increases with each start.
type Incarnation uint64

// Revision numbers an accepted change of the settings; it only increases.
type Revision uint64

// Fence is a fencing number; an order is refused if its number is lower than that of
// an earlier order to the same upstream.
type Fence uint64

// Role is the role of an instance in the fleet.
type Role string

// The roles of an instance.
const (
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
	RoleControl Role = "control"
	RoleClient  Role = "client"
)

// NewIncarnation derives an incarnation from the start time, in nanoseconds since 1970.
func NewIncarnation(now time.Time) Incarnation {
	return Incarnation(now.UnixNano())
}

// Attempt identifies one dispatch of a request; numbers start at 1.
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
