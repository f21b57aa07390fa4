package main

import (
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// sourceAddresses holds the source address of the connections of each failure domain, by
// which the forwarders recognize where a connection comes from.
var sourceAddresses = map[string]string{"catania": "127.0.1.1", "messina": "127.0.1.2", "siracusa": "127.0.1.3"}

// network forwards connections to the processes in the failure domains and to the
// platform, and can simulate a partition between two of these locations.
type network struct {
	t *testing.T

	mu      sync.Mutex
	blocked map[[2]string]bool // by pair of locations, in either order
}

func newNetwork(t *testing.T) *network {
	return &network{t: t, blocked: make(map[[2]string]bool)}
}

// forward returns an address that forwards to the target in that location.
func (n *network) forward(location, target string) string {
	l, err := net.Listen("tcp", freeAddress(n.t))
	assert.NilError(n.t, err)
	n.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.relay(c, location, target)
		}
	}()
	return l.Addr().String()
}

// relay forwards one connection. During a partition it neither forwards data nor closes
// the connection, as when packets are lost.
func (n *network) relay(in net.Conn, location, target string) {
	defer in.Close()
	from := locationOf(in.RemoteAddr())
	pair := [2]string{from, location}
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	var done sync.WaitGroup
	done.Go(func() { n.copy(out, in, pair) })
	done.Go(func() { n.copy(in, out, pair) })
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
	for location, source := range sourceAddresses {
		if source == host {
			return location
		}
	}
	return "test"
}

func (n *network) isBlocked(pair [2]string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked[pair] || n.blocked[[2]string{pair[1], pair[0]}]
}

// isolate partitions a location from all others and the platform, or ends the partition.
func (n *network) isolate(location string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other := range sourceAddresses {
		if other != location {
			n.blocked[[2]string{location, other}] = partitioned
		}
	}
	n.blocked[[2]string{location, "platform"}] = partitioned
}
