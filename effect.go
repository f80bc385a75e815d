package cleat

// Send is the effect of sending a message to an instance.
type Send struct {
	To      InstanceID
	Message Message
}

// Start is the effect of dispatching a request under a grant.
type Start struct {
	Work        Work
	Attempt     Attempt
	Agent       InstanceID
	Incarnation Incarnation
	Grant       Grant
	Share       float64 // The workspace's share of capacity.
}

// Stop is the effect of canceling an attempt at its agent.
type Stop struct {
	Attempt Attempt
	Agent   InstanceID
}

// Effects lists the actions that result from a decision, each kind in order.
// Decision code does no I/O: its callers carry the effects out after releasing
// the lock that guards the decision state.
type Effects struct {
	Sends    []Send
	Starts   []Start
	Stops    []Stop
	Refusals []Refusal
}

// Add appends the effects of e2.
func (e *Effects) Add(e2 Effects) {
	e.Sends = append(e.Sends, e2.Sends...)
	e.Starts = append(e.Starts, e2.Starts...)
	e.Stops = append(e.Stops, e2.Stops...)
	e.Refusals = append(e.Refusals, e2.Refusals...)
}
