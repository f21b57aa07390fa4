package owner

import (
	"context"
	"sync"

	"github.com/papayarail/papayarail/core/position"
)

// waiters delivers results to the goroutines that wait for them, by request ID.
// It is guarded by the mutex of its Upstream.
type waiters[T any] map[uint64]chan T

func newWaiters[T any]() waiters[T] { return make(waiters[T]) }

// add returns the channel on which the result for id is delivered.
func (w waiters[T]) add(id uint64) <-chan T {
	ch := make(chan T, 1)
	w[id] = ch
	return ch
}

// deliver hands v to the goroutine waiting for id and reports whether there was one.
func (w waiters[T]) deliver(id uint64, v T) bool {
	ch, found := w[id]
	if !found {
		return false
	}
	delete(w, id)
	ch <- v
	return true
}

// confirmation is the result of a wait for a quorum.
type confirmation struct {
	position position.Position
	err      error
}

// appliedWaiter is a read that waits until the replica has applied min; done is closed
// then.
type appliedWaiter struct {
	min  position.Position
	done chan struct{}
}

// barrierBatcher serves all reads that wait for a barrier with one request to the
// primary. A read never uses a barrier requested before the read arrived, because
// that barrier may miss writes acknowledged in between.
type barrierBatcher struct {
	request func(ctx context.Context, service string) (position.Position, error)

	mu      sync.Mutex
	running bool
	next    *barrierCall // request that has not been sent yet; nil if no read waits for one
}

type barrierCall struct {
	done     chan struct{}
	position position.Position
	err      error
}

func newBarrierBatcher(request func(context.Context, string) (position.Position, error)) *barrierBatcher {
	return &barrierBatcher{request: request}
}

// get returns a position that was confirmed after the call of get.
func (b *barrierBatcher) get(ctx context.Context, service string) (position.Position, error) {
	b.mu.Lock()
	if b.next == nil {
		b.next = &barrierCall{done: make(chan struct{})}
	}
	call := b.next
	if !b.running {
		b.running = true
		go b.run(service)
	}
	b.mu.Unlock()
	select {
	case <-call.done:
		return call.position, call.err
	case <-ctx.Done():
		return position.Position{}, ctx.Err()
	}
}

// run requests barriers until no read waits for one.
func (b *barrierBatcher) run(service string) {
	for {
		b.mu.Lock()
		call := b.next
		b.next = nil
		if call == nil {
			b.running = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		call.position, call.err = b.request(ctx, service)
		cancel()
		close(call.done)
	}
}
