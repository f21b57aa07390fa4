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
	memberTickInterval = 50 * time.Millisecond
	// probeTimeout covers a probe on the open link and, if that gets no answer,
	// another one on a new connection.
	probeTimeout      = 300 * time.Millisecond
	firstProbeTimeout = 150 * time.Millisecond
	// listInterval is the mean time between two reads of the platform's instance
	// list. It varies by up to listJitter in both directions, so that instances that
	// started together don't read at the same time.
	listInterval = 5 * time.Second
	listJitter   = time.Second
)

// members runs the gossip membership protocol, whose members are the instances: it
// performs the actions of the state machine in core/membership.
type members struct {
	node *Node

	mu                sync.Mutex
	machine           *membership.Machine
	operatorAddresses map[string]string // by instance name, IP:port
}

func newMembers(n *Node) *members {
	return &members{
		node: n,
		machine: membership.New(membership.Config{
			Name:          n.settings.Name,
			FailureDomain: n.settings.FailureDomain,
			Address:       n.settings.Advertised(),
			Incarnation:   n.incarnation,
			Seeds:         n.settings.SeedPeers,
		}),
		operatorAddresses: make(map[string]string),
	}
}

func (m *members) run(ctx context.Context) {
	for sleep(ctx, memberTickInterval) {
		m.applyEvent(func(now time.Duration) []membership.Action { return m.machine.Tick(now) })
	}
}

// applyEvent applies f to the state machine, starts the resulting actions and updates
// the view if they require it.
func (m *members) applyEvent(f func(now time.Duration) []membership.Action) {
	m.mu.Lock()
	actions := f(m.node.now())
	changed := false
	for _, a := range actions {
		changed = m.perform(a) || changed
	}
	m.mu.Unlock()
	if changed {
		m.updateView()
	}
}

// perform starts an action and reports whether the view needs an update. m.mu must
// be held.
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
			go m.fetchOperatorAddress(a.Member)
		}
		return m.node.config.isPoller() || len(m.node.view.Peers()) == 0
	}
	return false
}

// updateView copies the members into the view and the configuration gossip.
func (m *members) updateView() {
	m.mu.Lock()
	var peers []view.Peer
	for _, instance := range m.machine.Members() {
		if instance.Name == m.node.settings.Name {
			continue
		}
		peers = append(peers, view.Peer{
			Name:            instance.Name,
			FailureDomain:   instance.FailureDomain,
			Address:         instance.Address,
			OperatorAddress: m.operatorAddresses[instance.Name],
			Leaving:         instance.State == membership.Leaving,
		})
	}
	m.mu.Unlock()
	if m.node.view.UpdatePeers(peers) {
		m.node.config.peersChanged(peers)
		m.node.triggerReconcile()
	}
}

func (m *members) probe(a membership.Probe) {
	ctx, cancel := context.WithTimeout(m.node.workCtx, probeTimeout)
	defer cancel()
	answer, err := m.sendProbe(ctx, a.Address, m.node.probe(a.Digest))
	m.probeDone(a.Peer, "", answer, err)
}

func (m *members) probeThrough(a membership.ProbeThrough) {
	ctx, cancel := context.WithTimeout(m.node.workCtx, probeTimeout)
	defer cancel()
	request := &peer.ProbeThrough{Address: a.Address, Probe: *m.node.probe(a.Digest)}
	answer := &peer.Probe{}
	err := m.node.links.Control(a.ViaAddress).Call(ctx, peer.MethodProbeThrough, request, answer)
	m.probeDone(a.Peer, a.Via, answer, err)
}

// probeDone reports the result of a probe. via names the instance that made an indirect
// probe; it is empty for a direct one.
func (m *members) probeDone(name, via string, answer *peer.Probe, err error) {
	if err != nil {
		m.applyEvent(func(now time.Duration) []membership.Action { return m.machine.ProbeFailed(name, via, now) })
		return
	}
	m.applyEvent(func(now time.Duration) []membership.Action {
		return m.machine.ProbeAnswered(name, via, answer.Membership, now)
	})
	m.node.receiveRoutes(answer)
}

// sendProbe sends a probe. A link without an answer in time may be broken although
// the peer works, so the probe is repeated on a new connection before it fails.
func (m *members) sendProbe(ctx context.Context, address string, p *peer.Probe) (*peer.Probe, error) {
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

// probeReceived handles the probe of a peer and returns the answer.
func (m *members) probeReceived(p *peer.Probe) *peer.Probe {
	var answer membership.Digest
	m.applyEvent(func(now time.Duration) (actions []membership.Action) {
		answer, actions = m.machine.Received(p.Membership, now)
		return actions
	})
	m.node.receiveRoutes(p)
	return m.node.probe(answer)
}

// fetch asks an instance for its member list.
func (m *members) fetch(address string) {
	ctx, cancel := context.WithTimeout(m.node.workCtx, probeTimeout)
	defer cancel()
	var answer peer.Members
	if m.node.links.Control(address).Call(ctx, peer.MethodMembers, &peer.Empty{}, &answer) != nil {
		return
	}
	m.applyEvent(func(now time.Duration) []membership.Action { return m.machine.Fetched(answer.Members, now) })
}

// fetchOperatorAddress asks a new peer for its operators' address.
func (m *members) fetchOperatorAddress(instance membership.Member) {
	ctx, cancel := context.WithTimeout(m.node.workCtx, probeTimeout)
	defer cancel()
	var hello peer.Hello
	if m.node.links.Control(instance.Address).Call(ctx, peer.MethodHello, &peer.Empty{}, &hello) != nil {
		return
	}
	m.mu.Lock()
	m.operatorAddresses[instance.Name] = hello.OperatorAddress
	m.mu.Unlock()
	m.updateView()
}

// linkFailed makes the membership probe a peer whose data link has failed.
func (m *members) linkFailed(name string) {
	m.applyEvent(func(now time.Duration) []membership.Action { return m.machine.LinkFailed(name, now) })
}

// leave announces the planned stop. Up to maxBroadcastPeers peers are probed at
// once, because a probe carries the state of its sender; the other peers learn of
// it by gossip.
func (m *members) leave() {
	m.applyEvent(func(now time.Duration) []membership.Action { return m.machine.Leave(now) })
	peers := m.node.view.Peers()
	for _, p := range peers[:min(len(peers), maxBroadcastPeers)] {
		m.linkFailed(p.Name)
	}
}

// knownInstances returns the instances that are not dead, this one included.
func (m *members) knownInstances() []membership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Members()
}

// mayBeAlive reports whether the process of an instance with the incarnation may still
// be running. The incarnation is compared only for this instance: another one counts
// as alive unless it is known to be dead.
func (m *members) mayBeAlive(instance string, incarnation uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if instance == m.node.settings.Name {
		return incarnation == m.node.incarnation
	}
	state, known := m.machine.State(instance)
	return !known || state != membership.Dead
}

// leavingAdvised starts the planned stop: the platform lists this instance as leaving.
func (m *members) leavingAdvised() {
	m.node.log.Info("the platform lists this instance as leaving")
	m.node.Drain()
}

// adviseLeaving tells a peer that the platform lists it as leaving.
func (m *members) adviseLeaving(address string) {
	ctx, cancel := context.WithTimeout(m.node.workCtx, probeTimeout)
	defer cancel()
	var none peer.Empty
	// If the call fails, the next read of the list repeats it.
	_ = m.node.links.Control(address).Call(ctx, peer.MethodAdviseLeaving, &peer.Empty{}, &none)
}

// pollInstanceList feeds the platform's instance list, which may be out of date, to
// the membership while this instance is among those that read it.
func (m *members) pollInstanceList(ctx context.Context) {
	reading := false
	for {
		wanted := m.shouldReadInstanceList()
		if wanted {
			m.readInstanceList(ctx)
		} else if reading {
			// A list that is no longer read must not keep dead members in the membership.
			m.applyEvent(func(now time.Duration) []membership.Action { return m.machine.PlatformList(nil, now) })
		}
		reading = wanted
		if !sleep(ctx, listInterval-listJitter+rand.N(2*listJitter)) {
			return
		}
	}
}

// shouldReadInstanceList reports whether this instance reads the list: it is one of
// the pollers of its failure domain, or it knows no live peer.
func (m *members) shouldReadInstanceList() bool {
	return m.node.config.isPoller() || len(m.node.view.Peers()) == 0
}

func (m *members) readInstanceList(ctx context.Context) {
	list, err := m.node.registry.Instances(ctx)
	if err != nil {
		m.node.log.WithError(err).Debug("could not read the instance list from the platform")
		return
	}
	m.applyEvent(func(now time.Duration) []membership.Action { return m.machine.PlatformList(toEntries(list), now) })
}

func toEntries(list []registry.Instance) []membership.PlatformEntry {
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
