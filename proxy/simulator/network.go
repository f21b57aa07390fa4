package simulator

import (
	"context"
	"errors"
	"net"
	"sync"
)

// Network connects the instances of a Cluster. The address of an instance is its name.
type Network struct {
	cluster   *Cluster
	mu        sync.Mutex
	listeners map[string]*listener
}

// NewNetwork returns a network without listeners.
func (c *Cluster) NewNetwork() *Network {
	return &Network{cluster: c, listeners: make(map[string]*listener)}
}

var errRefused = errors.New("connection refused")

// Listen returns a listener for connections to an instance.
func (n *Network) Listen(instance string) net.Listener {
	l := &listener{instance: instance, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[instance] = l
	return l
}

// Dial connects one instance to another. If they are partitioned it returns the error of
// ctx once ctx ends.
func (n *Network) Dial(ctx context.Context, from, to string) (net.Conn, error) {
	if n.partitioned(from, to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	n.mu.Lock()
	l := n.listeners[to]
	n.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	near, far := net.Pipe()
	select {
	case l.incoming <- &pipe{far, n, to, from}:
		return &pipe{near, n, from, to}, nil
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *Network) partitioned(a, b string) bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.cluster.partitioned(a, b)
}

// pipe is a connection that drops data while its ends are partitioned.
type pipe struct {
	net.Conn
	network  *Network
	from, to string
}

// Write implements net.Conn.
func (p *pipe) Write(b []byte) (int, error) {
	if p.network.partitioned(p.from, p.to) {
		return len(b), nil
	}
	// There is no simulated delay: a writer that slept while holding a lock would stop
	// the clock of the testing/synctest bubble.
	return p.Conn.Write(b)
}

// listener accepts the connections to one instance.
type listener struct {
	instance string
	incoming chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return &net.UnixAddr{Name: l.instance} }
