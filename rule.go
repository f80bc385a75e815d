package cleat

import (
	"sort"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Defaults and limits of rules and classes.
const (
	DefaultIdempotencyHeader = "Idempotency-Key"
	DefaultDeadline          = 10 * time.Minute
	MaxDeadline              = 24 * time.Hour
	DefaultClass             = ClassName("default")
)

// Seconds is a duration that is encoded in settings as a number of seconds.
type Seconds float64

// Duration returns s as a time.Duration.
func (s Seconds) Duration() time.Duration {
	return time.Duration(float64(s) * float64(time.Second))
}

// Rule states how the requests that match it are handled. It is stored at
// /fleet/rules/<name> or, for one team's workspaces, at /teams/<team>/rules/<name>.
type Rule struct {
	Name              string       `json:"-"`
	Team              string       `json:"-"`      // Empty for fleet-wide rules.
	Order             int          `json:"order"`  // Rules are tried by ascending order, then name, a team's own rules first.
	Method            string       `json:"method"` // Empty matches any.
	PathPrefix        string       `json:"path_prefix"`
	RequestModel      string       `json:"request_model"` // Matches the body's model; empty matches any.
	Kind              UpstreamKind `json:"kind"`
	Model             ModelID      `json:"model"` // Model or pool to route to; empty keeps the request's own.
	Class             ClassName    `json:"class"`
	Repeatable        bool         `json:"repeatable"` // A matching request may run more than once; its idempotency header is ignored.
	IdempotencyHeader string       `json:"idempotency_header"`
	Deadline          Seconds      `json:"deadline_s"` // Zero means the deadline of the class.
}

// Defaults sets the fields that the operator left out.
func (r *Rule) Defaults() {
	SetDefault(&r.Kind, KindModel)
	SetDefault(&r.Class, DefaultClass)
	SetDefault(&r.IdempotencyHeader, DefaultIdempotencyHeader)
	SetDefault(&r.PathPrefix, "/")
}

// Validate returns a trace.BadParameter error that names the first invalid field.
func (r *Rule) Validate() error {
	if r.Kind != KindModel && r.Kind != KindPlain {
		return trace.BadParameter("Rule.Validate: kind must be %q or %q, not %q", KindModel, KindPlain, r.Kind)
	}
	if r.Kind == KindPlain && r.Model == "" {
		return trace.BadParameter("Rule.Validate: model must name the pool of plain services")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") {
		return trace.BadParameter("Rule.Validate: path_prefix must start with /, not %q", r.PathPrefix)
	}
	if r.Deadline < 0 || r.Deadline.Duration() > MaxDeadline {
		return trace.BadParameter("Rule.Validate: deadline_s must be between 0 and %v", MaxDeadline.Seconds())
	}
	return nil
}

// Matches reports whether the rule applies to a request of a team's workspace.
func (r *Rule) Matches(team, method, path, model string) bool {
	return (r.Team == "" || r.Team == team) &&
		(r.Method == "" || strings.EqualFold(r.Method, method)) &&
		strings.HasPrefix(path, r.PathPrefix) &&
		(r.RequestModel == "" || r.RequestModel == model)
}

// Rules is the ordered list of rules in force.
type Rules struct {
	list []Rule
}

// NewRules sorts rules into the order in which they are tried.
func NewRules(list []Rule) Rules {
	sorted := append([]Rule(nil), list...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		if (a.Team == "") != (b.Team == "") {
			return a.Team != ""
		}
		if a.Order != b.Order {
			return a.Order < b.Order
		}
		return a.Name < b.Name
	})
	return Rules{list: sorted}
}

// List returns the rules in the order in which they are tried.
func (rs Rules) List() []Rule {
	return append([]Rule(nil), rs.list...)
}

// Match returns the first rule that applies to a request.
func (rs Rules) Match(team, method, path, model string) (Rule, bool) {
	for i := range rs.list {
		if rs.list[i].Matches(team, method, path, model) {
			return rs.list[i], true
		}
	}
	return Rule{}, false
}

// Class sets the precedence and default deadline of a group of requests. It is stored at /fleet/classes/<name>.
type Class struct {
	Name     ClassName `json:"-"`
	Rank     int       `json:"rank"` // Lower is served first.
	Deadline Seconds   `json:"deadline_s"`
}

// Defaults sets the fields that the operator left out.
func (c *Class) Defaults() {
	SetDefault(&c.Deadline, Seconds(DefaultDeadline.Seconds()))
}

// Validate returns a trace.BadParameter error that names the first invalid field.
func (c *Class) Validate() error {
	if c.Rank < 0 || c.Rank > 1000 {
		return trace.BadParameter("Class.Validate: rank must be between 0 and 1000, not %d", c.Rank)
	}
	if c.Deadline < 0 || c.Deadline.Duration() > MaxDeadline {
		return trace.BadParameter("Class.Validate: deadline_s must be between 0 and %v", MaxDeadline.Seconds())
	}
	return nil
}
