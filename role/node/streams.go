package node

import (
	"maps"
	"slices"

	"marigoldcleat.example/cleat"
)

// streamCallbacks are the callbacks of a node that asks control instances for streams.
type streamCallbacks struct {
	report  func(l cleat.Link, m *cleat.StreamReport)
	link    func(l cleat.Link, up bool)
	session func()
}

// OnStreams sets the callbacks for control instances' reports of streams, for links to
// control instances that go up or down, and for each new primary, which may not have
// been told of the streams that began here. They must not wait.
func (c *Client) OnStreams(report func(l cleat.Link, m *cleat.StreamReport), link func(l cleat.Link, up bool), session func()) {
	c.callbacks.streams = streamCallbacks{report: report, link: link, session: session}
}

// ControlLinks returns the links to all control instances, sorted by instance.
func (c *Client) ControlLinks() []cleat.Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	links := make([]cleat.Link, 0, len(c.links))
	for _, id := range slices.Sorted(maps.Keys(c.links)) {
		links = append(links, c.links[id].link)
	}
	return links
}

// SendPrimary sends a message to the primary. It returns false if there is no link to
// one or the message can't be sent.
func (c *Client) SendPrimary(m cleat.Message) bool {
	c.mu.Lock()
	link := c.primaryLink()
	c.mu.Unlock()
	return link != nil && link.Send(m) == nil
}

func (c *Client) handleStreams(l cleat.Link, m *cleat.StreamReport) {
	if f := c.callbacks.streams.report; f != nil {
		f(l, m)
	}
}

func (c *Client) notifyLink(l cleat.Link, up bool) {
	if f := c.callbacks.streams.link; f != nil {
		f(l, up)
	}
}

func (c *Client) notifySession() {
	if f := c.callbacks.streams.session; f != nil {
		f()
	}
}
