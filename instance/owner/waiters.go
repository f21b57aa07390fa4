package owner

import (
	"context"
	"sync"

	"github.com/papayarail/papayarail/core/position"
)

// waiters matches the outcome of a decision to the goroutine that waits for it.
// It is guarded by the mutex of its Upstream.
type waiters[T any] map[uint64]chan T

func newWaiters[T any]() waiters[T] { return make(waiters[T]) }

func (w waiters[T]) add(id uint64) <-chan T {
	ch := make(chan T, 1)
	w[id] = ch
	return ch
}

// deliver reports whether somebody was waiting.
func (w waiters[T]) deliver(id uint64, v T) bool {
	ch, found := w[id]
	if !found {
		return false
	}
	delete(w, id)
	ch <- v
	return true
}

type confirmation struct {
	position position.Position
	err      error
}

type appliedWaiter struct {
	min  position.Position
	done chan struct{}
}

// barrierGroup shares one barrier among the reads that arrived before it was
// asked for. A read never uses a barrier that was asked for before the read
// arrived, because writes acknowledged in between might be missing from it.
type barrierGroup struct {
	ask func(ctx context.Context, service string) (position.Position, error)

	mu      sync.Mutex
	running bool
	next    *barrierCall
}

type barrierCall struct {
	done     chan struct{}
	position position.Position
	err      error
}

func newBarrierGroup(ask func(context.Context, string) (position.Position, error)) *barrierGroup {
	return &barrierGroup{ask: ask}
}

// get returns a position confirmed after get was called.
func (g *barrierGroup) get(ctx context.Context, service string) (position.Position, error) {
	g.mu.Lock()
	if g.next == nil {
		g.next = &barrierCall{done: make(chan struct{})}
	}
	call := g.next
	if !g.running {
		g.running = true
		go g.run(service)
	}
	g.mu.Unlock()
	select {
	case <-call.done:
		return call.position, call.err
	case <-ctx.Done():
		return position.Position{}, ctx.Err()
	}
}

// run asks for barriers as long as somebody waits for one.
func (g *barrierGroup) run(service string) {
	for {
		g.mu.Lock()
		call := g.next
		g.next = nil
		if call == nil {
			g.running = false
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		call.position, call.err = g.ask(ctx, service)
		cancel()
		close(call.done)
	}
}
