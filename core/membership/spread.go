package membership

import "time"

// claim returns a message with only the peer's state as seen here, if the peer
// should refute it. It is used for probes that are likely to fail.
func (m *Machine) claim(to *peer) Digest {
	d := Digest{From: m.self.Member, Checksum: m.sum}
	if to != nil && to.Incarnation > 0 && to.State >= Suspect {
		d.Deltas = append(d.Deltas, to.Member)
	}
	return d
}

// digest returns claim with the changes that have been sent least often.
func (m *Machine) digest(to *peer) Digest {
	d := m.claim(to)
	limit, room := m.transmissions(), m.cfg.MaxDeltas
	if len(m.hot) > burstAbove {
		room *= burstFactor
	}
	for n := len(m.hot); n > 0 && len(d.Deltas) < room; n-- {
		p := m.hot[0]
		m.hot = m.hot[1:]
		p.sent++
		if p.sent < limit {
			m.hot = append(m.hot, p)
		} else {
			p.hot = false
		}
		if p != to {
			d.Deltas = append(d.Deltas, p.Member)
		}
	}
	return d
}

// spread puts a changed member in front of all others.
func (m *Machine) spread(p *peer) {
	p.sent = 0
	if p.hot {
		return
	}
	p.hot = true
	m.hot = append(m.hot, nil)
	copy(m.hot[1:], m.hot)
	m.hot[0] = p
}

// spreadLast puts a member whose suspicion has run out here behind all others,
// with half of the messages: those that know the suspicion let it run out too.
func (m *Machine) spreadLast(p *peer) {
	p.sent = m.transmissions() / 2
	if !p.hot {
		p.hot = true
		m.hot = append(m.hot, p)
	}
}

func (m *Machine) merge(d Digest, now time.Duration) {
	m.apply(d.From, now, true)
	for _, in := range d.Deltas {
		m.apply(in, now, true)
	}
	m.synchronize(d, now)
}

// synchronize fetches the complete list of a peer after a long disagreement,
// as after a partition, when there are more changes than messages can carry.
func (m *Machine) synchronize(d Digest, now time.Duration) {
	if d.Checksum == m.sum {
		m.agreed = now
		return
	}
	if now-m.agreed < syncAfter || (m.fetched > 0 && now-m.fetched < syncEvery) || d.From.Address == "" {
		return
	}
	m.fetched = now
	m.emit(Fetch{Address: d.From.Address})
}

// apply takes over what is newer than the present knowledge about a member, and
// spreads it if asked.
func (m *Machine) apply(in Member, now time.Duration, spread bool) {
	in.State = min(in.State, Dead)
	if in.Name == "" || in.Incarnation == 0 {
		return
	}
	if in.Name == m.self.Name {
		m.refute(in)
		return
	}
	p := m.peers[in.Name]
	if p == nil {
		p = &peer{Member: Member{Name: in.Name, State: Dead}}
		m.peers[in.Name] = p
	} else if in.Incarnation < p.Incarnation || (in.Incarnation == p.Incarnation && in.State <= p.State) {
		return
	}
	m.replace(p, in, now)
	if spread {
		m.spread(p)
	}
}

// refute answers a wrong statement about this instance with a higher incarnation.
func (m *Machine) refute(in Member) {
	newer := in.Incarnation > m.self.Incarnation
	if newer || (in.Incarnation == m.self.Incarnation && in.State > m.self.State) {
		m.raise(in.Incarnation+1, m.self.State)
	}
}

// raise changes the announced state. Each digest carries it, and its receivers
// spread it.
func (m *Machine) raise(incarnation uint64, s State) {
	m.live = nil
	m.sum ^= checksum(m.self.Member)
	m.self.Incarnation = incarnation
	m.self.State = s
	m.sum ^= checksum(m.self.Member)
}

func (m *Machine) replace(p *peer, in Member, now time.Duration) {
	before := p.Member
	p.Member = in
	m.live = nil
	if before.State != Dead {
		m.sum ^= checksum(before)
		m.count--
	}
	if in.State != Dead {
		m.sum ^= checksum(in)
		m.count++
	}
	switch in.State {
	case Suspect:
		p.accused = false
		p.deadline = now + m.suspicion()
		if before.State != Suspect {
			m.suspects = append(m.suspects, p)
		}
	case Dead:
		m.addDead(p, now)
	}
	if before.State == Dead && in.State != Dead {
		if before.Incarnation > 0 {
			m.healing = now + healingTime
		}
		m.joinRing(p)
	}
	if before.Incarnation == 0 && in.State == Dead {
		return
	}
	if before.State != in.State || before.Address != in.Address {
		m.emit(Changed{Member: in, Before: before.State, New: before.State == Dead})
	}
}

func (m *Machine) addDead(p *peer, now time.Duration) {
	p.deadline = now + deadKept
	if !p.inDead {
		p.inDead = true
		m.dead = append(m.dead, p)
	}
}

// joinRing gives a new member a random place in the present round.
func (m *Machine) joinRing(p *peer) {
	m.ring = append(m.ring, p)
	last := len(m.ring) - 1
	i := m.cfg.Rand.IntN(len(m.ring))
	m.ring[i], m.ring[last] = m.ring[last], m.ring[i]
}
