package node

import (
	"sort"

	"github.com/papayarail/papayarail/core/failover"
	"github.com/papayarail/papayarail/instance/owner"
	"github.com/papayarail/papayarail/instance/router"
	"github.com/papayarail/papayarail/instance/view"
)

// Dump is the state of an instance as operators see it. Coordinates lists the services
// whose failover the instance coordinates, and Router is its state as an entry instance.
type Dump struct {
	Instance    view.Peer        `json:"instance"`
	Leaving     bool             `json:"leaving"`
	UptimeMS    int64            `json:"uptime_ms"`
	Revision    uint64           `json:"revision"`
	Deployment  string           `json:"deployment"`
	Peers       []view.Peer      `json:"peers"`
	Routes      []failover.Route `json:"routes"`
	Coordinates []string         `json:"coordinates"`
	Upstreams   []owner.State    `json:"upstreams"`
	Router      router.State     `json:"entry"`
	// WaitingForPlatform lists what this instance does not get while the platform
	// is unreachable.
	WaitingForPlatform []string `json:"waiting_for_platform"`
}

// Dump returns the current state of the instance, a Dump.
func (n *Node) Dump() any {
	revision, doc := n.view.Document()
	d := Dump{
		Instance:    n.view.Self(),
		Leaving:     n.leaving.Load(),
		UptimeMS:    n.now().Milliseconds(),
		Revision:    revision,
		Peers:       n.view.Peers(),
		Routes:      n.view.Routes(),
		Coordinates: n.coordinators.active(),
		Router:      n.router.State(),
	}
	if n.config.platformFailed() {
		d.WaitingForPlatform = append(d.WaitingForPlatform, "new revisions of the configuration")
	}
	if doc != nil {
		d.Deployment = doc.Deployment
	} else {
		d.WaitingForPlatform = append(d.WaitingForPlatform, "the first configuration, from the platform or a peer")
	}
	for _, u := range n.upstreams.matching("") {
		d.Upstreams = append(d.Upstreams, u.State())
	}
	sort.Slice(d.Peers, func(i, j int) bool { return d.Peers[i].Name < d.Peers[j].Name })
	sort.Slice(d.Routes, func(i, j int) bool { return d.Routes[i].Service < d.Routes[j].Service })
	sort.Slice(d.Upstreams, func(i, j int) bool { return d.Upstreams[i].Upstream < d.Upstreams[j].Upstream })
	sort.Strings(d.Coordinates)
	return d
}

// Ready reports whether the instance can serve callers, and the reason if it can't.
func (n *Node) Ready() (bool, string) {
	if _, doc := n.view.Document(); doc == nil {
		return false, "no configuration yet"
	}
	if n.leaving.Load() {
		return false, "leaving"
	}
	return true, "ok"
}
