package membership

import "time"

// stateDigest returns a digest without deltas or, if the peer is suspect or dead here
// and should refute that, with its own state as the only delta. It is used for probes
// that are likely to fail.
func (m *Machine) stateDigest(to *peer) Digest {
	d := Digest{From: m.self.Member, Checksum: m.listChecksum}
	if to != nil && to.Incarnation > 0 && to.State >= Suspect {
		d.Deltas = append(d.Deltas, to.Member)
	}
	return d
}

// digest returns stateDigest with the changes that have been sent least often.
func (m *Machine) digest(to *peer) Digest {
	d := m.stateDigest(to)
	limit, maxDeltas := m.transmissionLimit(), m.cfg.MaxDeltas
	if len(m.gossipQueue) > burstThreshold {
		maxDeltas *= burstFactor
	}
	for n := len(m.gossipQueue); n > 0 && len(d.Deltas) < maxDeltas; n-- {
		p := m.gossipQueue[0]
		m.gossipQueue = m.gossipQueue[1:]
		p.timesSent++
		if p.timesSent < limit {
			m.gossipQueue = append(m.gossipQueue, p)
		} else {
			p.queued = false
		}
		if p != to {
			d.Deltas = append(d.Deltas, p.Member)
		}
	}
	return d
}

// enqueue puts a changed member at the front of the gossip queue.
func (m *Machine) enqueue(p *peer) {
	p.timesSent = 0
	if p.queued {
		return
	}
	p.queued = true
	m.gossipQueue = append(m.gossipQueue, nil)
	copy(m.gossipQueue[1:], m.gossipQueue)
	m.gossipQueue[0] = p
}

// enqueueLast puts a member whose suspicion has timed out here at the end of the
// gossip queue, with half of the transmissions: at the members that know of the
// suspicion it times out as well.
func (m *Machine) enqueueLast(p *peer) {
	p.timesSent = m.transmissionLimit() / 2
	if !p.queued {
		p.queued = true
		m.gossipQueue = append(m.gossipQueue, p)
	}
}

func (m *Machine) merge(d Digest, now time.Duration) {
	m.apply(d.From, now, true)
	for _, member := range d.Deltas {
		m.apply(member, now, true)
	}
	m.synchronize(d, now)
}

// synchronize fetches the complete list of a peer if checksums have differed for a
// long time, as after a partition, which causes more changes than messages can
// carry.
func (m *Machine) synchronize(d Digest, now time.Duration) {
	if d.Checksum == m.listChecksum {
		m.agreedAt = now
		return
	}
	if now-m.agreedAt < syncAfter || (m.fetchedAt > 0 && now-m.fetchedAt < minSyncInterval) || d.From.Address == "" {
		return
	}
	m.fetchedAt = now
	m.emit(Fetch{Address: d.From.Address})
}

// apply updates a member if update is newer than its known state, and queues the change
// for dissemination if disseminate is set.
func (m *Machine) apply(update Member, now time.Duration, disseminate bool) {
	update.State = min(update.State, Dead)
	if update.Name == "" || update.Incarnation == 0 {
		return
	}
	if update.Name == m.self.Name {
		m.refute(update)
		return
	}
	p := m.peers[update.Name]
	if p == nil {
		p = &peer{Member: Member{Name: update.Name, State: Dead}}
		m.peers[update.Name] = p
	} else if update.Incarnation < p.Incarnation || (update.Incarnation == p.Incarnation && update.State <= p.State) {
		return
	}
	m.replace(p, update, now)
	if disseminate {
		m.enqueue(p)
	}
}

// refute answers an outdated or wrong state of this instance with a higher
// incarnation.
func (m *Machine) refute(update Member) {
	higher := update.Incarnation > m.self.Incarnation
	if higher || (update.Incarnation == m.self.Incarnation && update.State > m.self.State) {
		m.announceSelf(update.Incarnation+1, m.self.State)
	}
}

// announceSelf changes the announced incarnation and state of this instance. Each
// digest carries them, and its receivers disseminate them.
func (m *Machine) announceSelf(incarnation uint64, s State) {
	m.cachedLive = nil
	m.listChecksum ^= checksum(m.self.Member)
	m.self.Incarnation = incarnation
	m.self.State = s
	m.listChecksum ^= checksum(m.self.Member)
}

// replace sets the state of a peer to update, changes what is derived from it, and reports
// the change. The peer has incarnation 0 if only its name was known before.
func (m *Machine) replace(p *peer, update Member, now time.Duration) {
	before := p.Member
	p.Member = update
	m.cachedLive = nil
	if before.State != Dead {
		m.listChecksum ^= checksum(before)
		m.liveCount--
	}
	if update.State != Dead {
		m.listChecksum ^= checksum(update)
		m.liveCount++
	}
	switch update.State {
	case Suspect:
		p.suspectedHere = false
		p.deadline = now + m.suspicionTimeout()
		if before.State != Suspect {
			m.suspects = append(m.suspects, p)
		}
	case Dead:
		m.addDead(p, now)
	}
	if before.State == Dead && update.State != Dead {
		if before.Incarnation > 0 {
			m.healingUntil = now + healingDuration
		}
		m.insertIntoProbeOrder(p)
	}
	// A member that was unknown and is dead is no change for the instance.
	if before.Incarnation == 0 && update.State == Dead {
		return
	}
	if before.State != update.State || before.Address != update.Address {
		m.emit(Changed{Member: update, Before: before.State, New: before.State == Dead})
	}
}

func (m *Machine) addDead(p *peer, now time.Duration) {
	p.deadline = now + deadRetention
	if !p.inDeadList {
		p.inDeadList = true
		m.dead = append(m.dead, p)
	}
}

// insertIntoProbeOrder inserts a new member at a random place of the current round.
func (m *Machine) insertIntoProbeOrder(p *peer) {
	m.probeOrder = append(m.probeOrder, p)
	last := len(m.probeOrder) - 1
	i := m.cfg.Rand.IntN(len(m.probeOrder))
	m.probeOrder[i], m.probeOrder[last] = m.probeOrder[last], m.probeOrder[i]
}
