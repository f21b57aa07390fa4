package simulator

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
)

// Network connects the instances of a Cluster. Addresses are their names.
type Network struct {
	w         *Cluster
	mu        sync.Mutex
	listeners map[string]*listener
}

// NewNetwork returns a network without listeners.
func (w *Cluster) NewNetwork() *Network {
	return &Network{w: w, listeners: make(map[string]*listener)}
}

var errRefused = errors.New("connection refused")

// Listen accepts connections to an instance.
func (n *Network) Listen(instance string) net.Listener {
	l := &listener{instance: instance, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[instance] = l
	return l
}

// Dial connects one instance to another.
func (n *Network) Dial(ctx context.Context, from, to string) (net.Conn, error) {
	if n.cut(from, to) {
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

func (n *Network) cut(a, b string) bool {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.w.cut(a, b)
}

// pipe loses what is written while its ends are cut from each other.
type pipe struct {
	net.Conn
	n        *Network
	from, to string
}

// Write implements net.Conn.
func (p *pipe) Write(b []byte) (int, error) {
	if p.n.cut(p.from, p.to) {
		return len(b), nil
	}
	// No time passes here: a writer that slept with its lock held would stop the
	// clock of a testing/synctest bubble.
	return p.Conn.Write(b)
}

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
		return nil, os.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return &net.UnixAddr{Name: l.instance} }
