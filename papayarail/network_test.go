package main

import (
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// sources gives the connections of each failure domain an address of their own,
// by which the forwarders tell where they come from.
var sourceAddresses = map[string]string{"catania": "127.0.1.1", "messina": "127.0.1.2", "siracusa": "127.0.1.3"}

// network forwards connections to the processes of the failure domains and of
// the platform, and can cut two places off from each other.
type network struct {
	t *testing.T

	mu      sync.Mutex
	blocked map[[2]string]bool
}

func newNetwork(t *testing.T) *network {
	return &network{t: t, blocked: make(map[[2]string]bool)}
}

// forward opens an address at which the target in the given place is reached.
func (n *network) forward(place, target string) string {
	l, err := net.Listen("tcp", freeAddress(n.t))
	assert.NilError(n.t, err)
	n.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.relay(c, place, target)
		}
	}()
	return l.Addr().String()
}

// relay carries one connection. Across a cut, nothing is forwarded and nothing
// is closed, as when packets are lost.
func (n *network) relay(c net.Conn, place, target string) {
	defer c.Close()
	from := locationOf(c.RemoteAddr())
	pair := [2]string{from, place}
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	var done sync.WaitGroup
	done.Go(func() { n.copy(out, c, pair) })
	done.Go(func() { n.copy(c, out, pair) })
	done.Wait()
}

func (n *network) copy(to, from net.Conn, pair [2]string) {
	buffer := make([]byte, 32<<10)
	for {
		size, err := from.Read(buffer)
		if n.isBlocked(pair) {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if size > 0 {
			if _, err := to.Write(buffer[:size]); err != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

func locationOf(a net.Addr) string {
	host, _, _ := net.SplitHostPort(a.String())
	for place, source := range sourceAddresses {
		if source == host {
			return place
		}
	}
	return "test"
}

func (n *network) isBlocked(pair [2]string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked[pair] || n.blocked[[2]string{pair[1], pair[0]}]
}

// isolate cuts a place off from all others, or joins it again.
func (n *network) isolate(place string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other := range sourceAddresses {
		if other != place {
			n.blocked[[2]string{place, other}] = cut
		}
	}
	n.blocked[[2]string{place, "platform"}] = cut
}
