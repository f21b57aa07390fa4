package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/papayarail/papayarail/core/membership"
	"github.com/papayarail/papayarail/instance/peer"
	"github.com/papayarail/papayarail/instance/view"
	"github.com/papayarail/papayarail/store/registry"
)

const (
	memberTick = 50 * time.Millisecond
	// probeTimeout covers a probe on the open link and, if that one is silent,
	// another one on a fresh connection.
	probeTimeout      = 300 * time.Millisecond
	firstProbeTimeout = 150 * time.Millisecond
	// listInterval is the mean time between two reads of the platform's instance
	// list. It varies by listJitter in each direction, so that instances that
	// started together don't read together.
	listInterval = 5 * time.Second
	listJitter   = time.Second
)

// members performs the actions of the membership machine.
type members struct {
	node *Node

	mu        sync.Mutex
	machine   *membership.Machine
	operators map[string]string // operators' address by instance name
}

func newMembers(n *Node) *members {
	return &members{
		node: n,
		machine: membership.New(membership.Config{
			Name:          n.settings.Name,
			FailureDomain: n.settings.FailureDomain,
			Address:       n.settings.Advertised(),
			Incarnation:   n.birth,
			Seeds:         n.settings.SeedPeers,
		}),
		operators: make(map[string]string),
	}
}

func (m *members) run(ctx context.Context) {
	for pause(ctx, memberTick) {
		m.event(func(now time.Duration) []membership.Action { return m.machine.Tick(now) })
	}
}

// event feeds the machine, performs its actions and updates the view.
func (m *members) event(f func(now time.Duration) []membership.Action) {
	m.mu.Lock()
	actions := f(m.node.now())
	changed := false
	for _, a := range actions {
		changed = m.perform(a) || changed
	}
	m.mu.Unlock()
	if changed {
		m.publish()
	}
}

// perform starts an action and reports whether the members have changed; the
// caller holds mu.
func (m *members) perform(a membership.Action) bool {
	switch a := a.(type) {
	case membership.Probe:
		go m.probe(a)
	case membership.ProbeThrough:
		go m.probeThrough(a)
	case membership.Fetch:
		go m.fetch(a.Address)
	case membership.ListedAsLeaving:
		m.leavingAdvised()
	case membership.AdviseLeaving:
		go m.adviseLeaving(a.Address)
	case membership.Changed:
		m.node.log.WithField("peer", a.Member.Name).WithField("state", a.Member.State.String()).Info("peer changed")
		if a.New {
			go m.askOperator(a.Member)
		}
		return m.node.config.poller() || len(m.node.view.Peers()) == 0
	}
	return false
}

// publish puts the members into the view.
func (m *members) publish() {
	m.mu.Lock()
	var peers []view.Peer
	for _, in := range m.machine.Members() {
		if in.Name == m.node.settings.Name {
			continue
		}
		peers = append(peers, view.Peer{
			Name:            in.Name,
			FailureDomain:   in.FailureDomain,
			Address:         in.Address,
			OperatorAddress: m.operators[in.Name],
			Leaving:         in.State == membership.Leaving,
		})
	}
	m.mu.Unlock()
	if m.node.view.UpdatePeers(peers) {
		m.node.config.peersChanged(peers)
		m.node.kick()
	}
}

func (m *members) probe(a membership.Probe) {
	ctx, cancel := context.WithTimeout(m.node.workCtx, probeTimeout)
	defer cancel()
	answer, err := m.send(ctx, a.Address, m.node.probe(a.Digest))
	m.finish(a.Peer, "", answer, err)
}

func (m *members) probeThrough(a membership.ProbeThrough) {
	ctx, cancel := context.WithTimeout(m.node.workCtx, probeTimeout)
	defer cancel()
	request := &peer.ProbeThrough{Address: a.Address, Probe: *m.node.probe(a.Digest)}
	answer := &peer.Probe{}
	err := m.node.links.Control(a.ViaAddress).Call(ctx, peer.MethodProbeThrough, request, answer)
	m.finish(a.Peer, a.Via, answer, err)
}

func (m *members) finish(name, via string, answer *peer.Probe, err error) {
	if err != nil {
		m.event(func(now time.Duration) []membership.Action { return m.machine.ProbeFailed(name, via, now) })
		return
	}
	m.event(func(now time.Duration) []membership.Action {
		return m.machine.ProbeAnswered(name, via, answer.Membership, now)
	})
	m.node.takeNews(answer)
}

// send delivers a probe. A link that does not answer in time may have gone
// silent, so the probe is repeated on a fresh connection before it counts.
func (m *members) send(ctx context.Context, address string, p *peer.Probe) (*peer.Probe, error) {
	link := m.node.links.Control(address)
	answer := &peer.Probe{}
	first, cancel := context.WithTimeout(ctx, firstProbeTimeout)
	err := link.Call(first, peer.MethodProbe, p, answer)
	cancel()
	if err == nil {
		return answer, nil
	}
	link.Close()
	return answer, link.Call(ctx, peer.MethodProbe, p, answer)
}

// received answers the probe of a peer.
func (m *members) received(p *peer.Probe) *peer.Probe {
	var answer membership.Digest
	m.event(func(now time.Duration) (actions []membership.Action) {
		answer, actions = m.machine.Received(p.Membership, now)
		return actions
	})
	m.node.takeNews(p)
	return m.node.probe(answer)
}

func (m *members) fetch(address string) {
	ctx, cancel := context.WithTimeout(m.node.workCtx, probeTimeout)
	defer cancel()
	var answer peer.Members
	if m.node.links.Control(address).Call(ctx, peer.MethodMembers, &peer.Empty{}, &answer) != nil {
		return
	}
	m.event(func(now time.Duration) []membership.Action { return m.machine.Fetched(answer.Members, now) })
}

// askOperator learns the operators' address of a new peer.
func (m *members) askOperator(in membership.Member) {
	ctx, cancel := context.WithTimeout(m.node.workCtx, probeTimeout)
	defer cancel()
	var hello peer.Hello
	if m.node.links.Control(in.Address).Call(ctx, peer.MethodHello, &peer.Empty{}, &hello) != nil {
		return
	}
	m.mu.Lock()
	m.operators[in.Name] = hello.OperatorAddress
	m.mu.Unlock()
	m.publish()
}

// linkFailed reports that the data link to a peer has failed.
func (m *members) linkFailed(name string) {
	m.event(func(now time.Duration) []membership.Action { return m.machine.LinkFailed(name, now) })
}

// leave announces the planned stop. Up to announceAll peers are probed at once,
// because a probe carries the state of its sender; the others learn from them.
func (m *members) leave() {
	m.event(func(now time.Duration) []membership.Action { return m.machine.Leave(now) })
	peers := m.node.view.Peers()
	for _, p := range peers[:min(len(peers), announceAll)] {
		m.linkFailed(p.Name)
	}
}

func (m *members) list() []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Members()
}

// alive reports whether the process of an instance may still be running. A
// process of an instance that this one has never heard of counts as alive.
func (m *members) alive(instance string, incarnation uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if instance == m.node.settings.Name {
		return incarnation == m.node.birth
	}
	state, known := m.machine.State(instance)
	return !known || state != membership.Dead
}

func (m *members) leavingAdvised() {
	m.node.log.Info("the platform lists this instance as leaving")
	m.node.Drain()
}

func (m *members) adviseLeaving(address string) {
	ctx, cancel := context.WithTimeout(m.node.workCtx, probeTimeout)
	defer cancel()
	var none peer.Empty
	// The next read of the list repeats an advice that has failed.
	_ = m.node.links.Control(address).Call(ctx, peer.MethodAdviseLeaving, &peer.Empty{}, &none)
}

// readList takes addresses from the platform's lagging list, while this
// instance is among those that read it.
func (m *members) readList(ctx context.Context) {
	reading := false
	for {
		wanted := m.readsList()
		if wanted {
			m.readListOnce(ctx)
		} else if reading {
			// A list that is no longer read must not keep dead members known.
			m.event(func(now time.Duration) []membership.Action { return m.machine.PlatformList(nil, now) })
		}
		reading = wanted
		if !pause(ctx, listInterval-listJitter+rand.N(2*listJitter)) {
			return
		}
	}
}

// readsList reports whether this instance reads the list: the pollers of its
// failure domain do, and each one that knows no live peer.
func (m *members) readsList() bool {
	return m.node.config.poller() || len(m.node.view.Peers()) == 0
}

func (m *members) readListOnce(ctx context.Context) {
	list, err := m.node.register.Instances(ctx)
	if err != nil {
		m.node.log.WithError(err).Debug("could not read the instance list from the platform")
		return
	}
	m.event(func(now time.Duration) []membership.Action { return m.machine.PlatformList(listed(list), now) })
}

func listed(list []registry.Instance) []membership.PlatformEntry {
	var out []membership.PlatformEntry
	for _, i := range list {
		out = append(out, membership.PlatformEntry{
			Name:          i.Name,
			FailureDomain: i.FailureDomain,
			Address:       i.PeerAddress,
			Leaving:       i.State == registry.Leaving,
		})
	}
	return out
}
