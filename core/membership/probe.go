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
	via      []string // outstanding indirect probes; nil while the direct one runs
}

func (m *Machine) startPeriod(now time.Duration) {
	if m.count == 1 && len(m.cfg.Seeds) > 0 {
		m.emit(Fetch{Address: m.cfg.Seeds[m.seed%len(m.cfg.Seeds)]})
		m.seed++
	}
	m.probeAccused(now)
	every := deadEvery
	if now < m.healing {
		every = healingEvery
	}
	if m.count == 1 || m.periods%every == 0 {
		if p := m.anyDead(now); p != nil {
			m.probe(p, now)
			return
		}
	}
	if p := m.nextPeer(); p != nil {
		m.probe(p, now)
	}
}

// probeAccused repeats the probe of one member that this instance suspects, so
// that a live one learns of the suspicion and refutes it in time. Left to
// gossip, most refutations came too late at 1,800 members and 5% message loss.
func (m *Machine) probeAccused(now time.Duration) {
	for range m.suspects {
		m.accusedAt = (m.accusedAt + 1) % len(m.suspects)
		if p := m.suspects[m.accusedAt]; p.accused && p.State == Suspect && !p.probing {
			m.probe(p, now)
			return
		}
	}
}

// nextPeer returns the next member that is not dead, in an order that is
// shuffled after each round, so that each is probed once per round.
func (m *Machine) nextPeer() *peer {
	for range 2 {
		for len(m.ring) > 0 {
			p := m.ring[len(m.ring)-1]
			m.ring = m.ring[:len(m.ring)-1]
			if p.State != Dead && m.peers[p.Name] == p && !p.probing {
				return p
			}
		}
		m.refillRing()
	}
	return nil
}

func (m *Machine) refillRing() {
	for _, p := range m.peers {
		if p.State != Dead {
			m.ring = append(m.ring, p)
		}
	}
	// Map order is random; sorting keeps runs with one seed equal.
	slices.SortFunc(m.ring, func(a, b *peer) int { return cmp.Compare(a.Name, b.Name) })
	m.cfg.Rand.Shuffle(len(m.ring), func(i, j int) { m.ring[i], m.ring[j] = m.ring[j], m.ring[i] })
}

// anyDead returns a random dead member, and forgets those that are due.
func (m *Machine) anyDead(now time.Duration) *peer {
	for len(m.dead) > 0 {
		i := m.cfg.Rand.IntN(len(m.dead))
		p := m.dead[i]
		expired := now >= p.deadline && !p.listed
		if p.State == Dead && !expired {
			if p.probing {
				return nil
			}
			return p
		}
		last := len(m.dead) - 1
		m.dead[i] = m.dead[last]
		m.dead = m.dead[:last]
		p.inDead = false
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
	d := m.claim(p)
	if p.State < Suspect {
		d = m.digest(p)
	}
	m.emit(Probe{Peer: p.Name, Address: p.Address, Digest: d})
}

// LinkFailed reports that a data link to a peer has failed. It is probed at once.
func (m *Machine) LinkFailed(name string, now time.Duration) []Action {
	if p := m.peers[name]; p != nil && p.State != Dead {
		m.probe(p, now)
	}
	return m.take()
}

// ProbeAnswered reports the answer of a peer to a direct probe (via is empty)
// or to one through another peer.
func (m *Machine) ProbeAnswered(name, via string, d Digest, now time.Duration) []Action {
	if i := m.probeOf(name); i >= 0 {
		m.endProbe(i)
	}
	before := m.self.Incarnation
	m.merge(d, now)
	// The peer holds an outdated state of this instance: correct it at once.
	if m.self.Incarnation > before {
		if p := m.peers[name]; p != nil {
			m.probe(p, now)
		}
	}
	return m.take()
}

// ProbeFailed reports that a probe could not be delivered or was not answered.
func (m *Machine) ProbeFailed(name, via string, now time.Duration) []Action {
	if i := m.probeOf(name); i >= 0 {
		pr := m.probes[i]
		if via == "" && pr.via == nil {
			m.probeOthers(i, now)
		} else if j := slices.Index(pr.via, via); j >= 0 {
			pr.via = slices.Delete(pr.via, j, j+1)
			if len(pr.via) == 0 {
				m.fail(i, now)
			}
		}
	}
	return m.take()
}

func (m *Machine) expireProbes(now time.Duration) {
	for i := len(m.probes) - 1; i >= 0; i-- {
		if pr := m.probes[i]; now >= pr.deadline {
			if pr.via == nil {
				m.probeOthers(i, now)
			} else {
				m.fail(i, now)
			}
		}
	}
}

// probeOthers continues a failed direct probe through a few other members,
// those of other failure domains included, since they are chosen at random.
func (m *Machine) probeOthers(i int, now time.Duration) {
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
		m.fail(i, now)
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
			ViaAddress: via.Address, Digest: m.claim(pr.peer)})
	}
}

// fail ends a probe whose direct and indirect attempts have failed.
func (m *Machine) fail(i int, now time.Duration) {
	p := m.probes[i].peer
	m.endProbe(i)
	in := p.Member
	switch p.State {
	case Alive:
		in.State = Suspect
	case Leaving:
		// An instance that had announced its stop has stopped. As a suspect it
		// would count as live again.
		in.State = Dead
	default:
		return
	}
	m.apply(in, now, true)
	p.accused = true
}

func (m *Machine) expireSuspects(now time.Duration) {
	for i := len(m.suspects) - 1; i >= 0; i-- {
		p := m.suspects[i]
		if p.State == Suspect && now >= p.deadline {
			in := p.Member
			in.State = Dead
			m.apply(in, now, false)
			m.spreadLast(p)
		}
		if p.State != Suspect {
			m.suspects = slices.Delete(m.suspects, i, i+1)
		}
	}
}

func (m *Machine) probeOf(name string) int {
	return slices.IndexFunc(m.probes, func(pr *probe) bool { return pr.peer.Name == name })
}

func (m *Machine) endProbe(i int) {
	m.probes[i].peer.probing = false
	m.probes = slices.Delete(m.probes, i, i+1)
}
