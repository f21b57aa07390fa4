package membership

import (
	"cmp"
	"slices"
	"time"
)

// probe is an unanswered probe.
type probe struct {
	peer     *peer
	deadline time.Duration
	via      []string // names of the peers of outstanding indirect probes; nil during the direct one
}

func (m *Machine) startPeriod(now time.Duration) {
	if m.liveCount == 1 && len(m.cfg.Seeds) > 0 {
		m.emit(Fetch{Address: m.cfg.Seeds[m.nextSeed%len(m.cfg.Seeds)]})
		m.nextSeed++
	}
	m.reprobeSuspect(now)
	every := deadProbePeriods
	if now < m.healingUntil {
		every = healingProbePeriods
	}
	if m.liveCount == 1 || m.periods%every == 0 {
		if p := m.randomDead(now); p != nil {
			m.probe(p, now)
			return
		}
	}
	if p := m.nextPeer(); p != nil {
		m.probe(p, now)
	}
}

// reprobeSuspect repeats the probe of one member that this instance suspects, so
// that a live one learns of the suspicion and refutes it in time. With gossip alone,
// most refutations came too late at 1,800 members and 5% message loss.
func (m *Machine) reprobeSuspect(now time.Duration) {
	for range m.suspects {
		m.lastReprobed = (m.lastReprobed + 1) % len(m.suspects)
		if p := m.suspects[m.lastReprobed]; p.suspectedHere && p.State == Suspect && !p.probing {
			m.probe(p, now)
			return
		}
	}
}

// nextPeer returns the next member that is not dead, in an order that is
// shuffled after each round, so that each is probed once per round.
func (m *Machine) nextPeer() *peer {
	for range 2 {
		for len(m.probeOrder) > 0 {
			p := m.probeOrder[len(m.probeOrder)-1]
			m.probeOrder = m.probeOrder[:len(m.probeOrder)-1]
			if p.State != Dead && m.peers[p.Name] == p && !p.probing {
				return p
			}
		}
		m.refillProbeOrder()
	}
	return nil
}

func (m *Machine) refillProbeOrder() {
	for _, p := range m.peers {
		if p.State != Dead {
			m.probeOrder = append(m.probeOrder, p)
		}
	}
	// Map order is random; sorting makes runs with the same seed reproducible.
	slices.SortFunc(m.probeOrder, func(a, b *peer) int { return cmp.Compare(a.Name, b.Name) })
	m.cfg.Rand.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
}

// randomDead returns a random dead member, nil if there is none or it is being
// probed. It removes members whose retention has ended.
func (m *Machine) randomDead(now time.Duration) *peer {
	for len(m.dead) > 0 {
		i := m.cfg.Rand.IntN(len(m.dead))
		p := m.dead[i]
		expired := now >= p.deadline && !p.listedByPlatform
		if p.State == Dead && !expired {
			if p.probing {
				return nil
			}
			return p
		}
		last := len(m.dead) - 1
		m.dead[i] = m.dead[last]
		m.dead = m.dead[:last]
		p.inDeadList = false
		if p.State == Dead {
			delete(m.peers, p.Name)
		}
	}
	return nil
}

func (m *Machine) probe(p *peer, now time.Duration) {
	if p.probing || p.Address == "" {
		return
	}
	p.probing = true
	m.probes = append(m.probes, &probe{peer: p, deadline: now + m.cfg.ProbeTimeout})
	d := m.stateDigest(p)
	if p.State < Suspect {
		d = m.digest(p)
	}
	m.emit(Probe{Peer: p.Name, Address: p.Address, Digest: d})
}

// LinkFailed reports that a data link to a peer has failed. The peer is probed at
// once.
func (m *Machine) LinkFailed(name string, now time.Duration) []Action {
	if p := m.peers[name]; p != nil && p.State != Dead {
		m.probe(p, now)
	}
	return m.takeActions()
}

// ProbeAnswered reports the answer of a peer to a direct probe (via is empty) or to
// an indirect one through the peer via.
func (m *Machine) ProbeAnswered(name, via string, d Digest, now time.Duration) []Action {
	if i := m.probeIndex(name); i >= 0 {
		m.endProbe(i)
	}
	before := m.self.Incarnation
	m.merge(d, now)
	// The peer had an outdated state of this instance: refute it at once.
	if m.self.Incarnation > before {
		if p := m.peers[name]; p != nil {
			m.probe(p, now)
		}
	}
	return m.takeActions()
}

// ProbeFailed reports that a direct probe (via is empty) or an indirect one through
// the peer via could not be delivered or was not answered.
func (m *Machine) ProbeFailed(name, via string, now time.Duration) []Action {
	if i := m.probeIndex(name); i >= 0 {
		pr := m.probes[i]
		if via == "" && pr.via == nil {
			m.probeIndirectly(i, now)
		} else if j := slices.Index(pr.via, via); j >= 0 {
			pr.via = slices.Delete(pr.via, j, j+1)
			if len(pr.via) == 0 {
				m.endFailedProbe(i, now)
			}
		}
	}
	return m.takeActions()
}

func (m *Machine) expireProbes(now time.Duration) {
	for i := len(m.probes) - 1; i >= 0; i-- {
		if pr := m.probes[i]; now >= pr.deadline {
			if pr.via == nil {
				m.probeIndirectly(i, now)
			} else {
				m.endFailedProbe(i, now)
			}
		}
	}
}

// probeIndirectly continues a failed direct probe through a few other members. They
// are chosen at random and so include members of other failure domains.
func (m *Machine) probeIndirectly(i int, now time.Duration) {
	pr := m.probes[i]
	if pr.peer.State == Dead {
		m.endProbe(i)
		return
	}
	var others []*peer
	for _, p := range m.peers {
		if p != pr.peer && (p.State == Alive || p.State == Leaving) {
			others = append(others, p)
		}
	}
	slices.SortFunc(others, func(a, b *peer) int { return cmp.Compare(a.Name, b.Name) })
	n := min(m.cfg.IndirectProbes, len(others))
	if n == 0 {
		m.endFailedProbe(i, now)
		return
	}
	pr.deadline = now + m.cfg.ProbeTimeout
	pr.via = make([]string, 0, n)
	for k := range n {
		j := k + m.cfg.Rand.IntN(len(others)-k)
		others[k], others[j] = others[j], others[k]
		via := others[k]
		pr.via = append(pr.via, via.Name)
		m.emit(ProbeThrough{Peer: pr.peer.Name, Address: pr.peer.Address, Via: via.Name,
			ViaAddress: via.Address, Digest: m.stateDigest(pr.peer)})
	}
}

// endFailedProbe ends a probe whose direct and indirect attempts have failed.
func (m *Machine) endFailedProbe(i int, now time.Duration) {
	p := m.probes[i].peer
	m.endProbe(i)
	member := p.Member
	switch p.State {
	case Alive:
		member.State = Suspect
	case Leaving:
		// An instance that had announced its stop is taken to have stopped. As a
		// suspect it would count as live again.
		member.State = Dead
	default:
		return
	}
	m.apply(member, now, true)
	p.suspectedHere = true
}

func (m *Machine) expireSuspects(now time.Duration) {
	for i := len(m.suspects) - 1; i >= 0; i-- {
		p := m.suspects[i]
		if p.State == Suspect && now >= p.deadline {
			member := p.Member
			member.State = Dead
			m.apply(member, now, false)
			m.enqueueLast(p)
		}
		if p.State != Suspect {
			m.suspects = slices.Delete(m.suspects, i, i+1)
		}
	}
}

func (m *Machine) probeIndex(name string) int {
	return slices.IndexFunc(m.probes, func(pr *probe) bool { return pr.peer.Name == name })
}

func (m *Machine) endProbe(i int) {
	m.probes[i].peer.probing = false
	m.probes = slices.Delete(m.probes, i, i+1)
}
