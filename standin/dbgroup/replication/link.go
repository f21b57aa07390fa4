package replication

import (
	"bufio"
	"context"
	"encoding/gob"
	"io"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayarail/papayarail/standin/dbgroup/fault"
	"github.com/zeebo/errs"
)

// StartupParameter marks a connection as a replication link. Its value is the
// name of the replica. After AuthenticationOk the link carries gob values.
const StartupParameter = "group.replica"

const (
	redialPause  = 10 * time.Millisecond
	maxBatch     = 256  // entries per message, so that confirmations keep flowing during catch-up
	receiveAhead = 4096 // received batches that wait for the replication delay
)

var (
	errClosed = errs.New("the link no longer matches the term or role of the member")
	errCut    = errs.New("the link is cut")
)

// Links runs the replication links of a node.
type Links struct {
	Node   *Node
	Faults *fault.State
}

// Replicate keeps a link to the primary that the node follows until ctx ends.
func (l *Links) Replicate(ctx context.Context) {
	for ctx.Err() == nil {
		primary, term, changed := l.Node.followed()
		if primary.Name != "" {
			l.follow(ctx, primary, term)
			pause(ctx, redialPause)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// follow runs one link until it breaks or the node follows something else.
func (l *Links) follow(ctx context.Context, primary Peer, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		l.awaitChange(ctx, primary, term)
	}()
	if l.Faults.AwaitLinkUp(ctx, primary.Name) != nil {
		return
	}
	conn, err := dial(ctx, primary.Address, l.Node.name)
	if err != nil {
		return
	}
	defer l.closeOnCut(ctx, conn, primary.Name)()
	_ = l.receive(ctx, conn, primary, term) // the caller dials again after any error
}

func (l *Links) awaitChange(ctx context.Context, primary Peer, term uint64) {
	for {
		p, t, changed := l.Node.followed()
		if p != primary || t != term {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func dial(ctx context.Context, address, member string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if err := handshake(conn, member); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

func handshake(conn net.Conn, member string) error {
	startup := pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "replication", StartupParameter: member},
	}
	b, err := startup.Encode(nil)
	if err != nil {
		return errs.Wrap(err)
	}
	if _, err := conn.Write(b); err != nil {
		return errs.Wrap(err)
	}
	var ok [9]byte // AuthenticationOk: type, length 8, code 0
	if _, err := io.ReadFull(conn, ok[:]); err != nil {
		return errs.Wrap(err)
	}
	if ok[0] != 'R' {
		return errs.New("the replication link was refused")
	}
	return nil
}

// closeOnCut closes conn when ctx ends or the link with peer is cut. The
// returned function closes conn too and waits until the watcher has ended.
func (l *Links) closeOnCut(ctx context.Context, conn net.Conn, peer string) func() {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		_ = l.Faults.AwaitLinkCut(ctx, peer)
		conn.Close()
	})
	return func() {
		cancel()
		wg.Wait()
	}
}

// ready waits while the member is frozen and fails if the link with peer is
// cut. Nothing that is committed after a cut passes the link: closing the
// connection alone would leave a short time in which it still could.
func (l *Links) ready(ctx context.Context, peer string) error {
	if err := l.Faults.AwaitUnfrozen(ctx); err != nil {
		return err
	}
	if !l.Faults.LinkUp(peer) {
		return errCut
	}
	return nil
}

type received struct {
	batch batch
	at    time.Time
}

// receive applies what the primary sends, each batch when its delay is over.
func (l *Links) receive(ctx context.Context, conn net.Conn, primary Peer, term uint64) error {
	h, ok := l.Node.hello(term)
	if !ok {
		return errClosed
	}
	enc := gob.NewEncoder(conn)
	if err := enc.Encode(h); err != nil {
		return errs.Wrap(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	queue := make(chan received, receiveAhead)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer conn.Close()
	wg.Go(func() {
		defer cancel()
		readBatches(ctx, conn, queue)
	})
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-queue:
			if err := l.applyBatch(ctx, enc, primary, r); err != nil {
				return err
			}
		}
	}
}

func readBatches(ctx context.Context, conn net.Conn, queue chan<- received) {
	dec := gob.NewDecoder(bufio.NewReader(conn))
	for {
		var b batch
		if dec.Decode(&b) != nil {
			return
		}
		select {
		case queue <- received{b, time.Now()}:
		case <-ctx.Done():
			return
		}
	}
}

func (l *Links) applyBatch(ctx context.Context, enc *gob.Encoder, primary Peer, r received) error {
	if err := l.Faults.AwaitReplicationDelay(ctx, r.at); err != nil {
		return err
	}
	if err := l.ready(ctx, primary.Name); err != nil {
		return err
	}
	c, ok := l.Node.apply(primary, r.batch)
	if !ok {
		return errClosed
	}
	return errs.Wrap(enc.Encode(c))
}

// Serve sends the log to a replica over an accepted link until the link breaks
// or the node stops being primary of the replica's term.
func (l *Links) Serve(ctx context.Context, conn net.Conn, member string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer l.closeOnCut(ctx, conn, member)()
	dec := gob.NewDecoder(bufio.NewReader(conn))
	var h hello
	if err := dec.Decode(&h); err != nil {
		return errs.Wrap(err)
	}
	if err := l.ready(ctx, member); err != nil {
		return err
	}
	start, ok := l.Node.welcome(h)
	if !ok {
		return errClosed
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer conn.Close()
	wg.Go(func() {
		defer cancel()
		l.readConfirmations(ctx, dec, member)
	})
	enc := gob.NewEncoder(conn)
	if err := enc.Encode(start); err != nil {
		return errs.Wrap(err)
	}
	return l.send(ctx, enc, member, h.Term, start.Keep)
}

func (l *Links) readConfirmations(ctx context.Context, dec *gob.Decoder, member string) {
	for {
		var c confirmation
		if dec.Decode(&c) != nil || l.ready(ctx, member) != nil {
			return
		}
		l.Node.confirm(member, c)
	}
}

func (l *Links) send(ctx context.Context, enc *gob.Encoder, member string, term, sent uint64) error {
	for {
		entries, changed, ok := l.Node.entries(term, sent)
		if !ok {
			return errClosed
		}
		if len(entries) == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-changed:
			}
			continue
		}
		if err := l.ready(ctx, member); err != nil {
			return err
		}
		entries = entries[:min(len(entries), maxBatch)]
		if err := enc.Encode(batch{Term: term, Entries: entries}); err != nil {
			return errs.Wrap(err)
		}
		sent += uint64(len(entries))
	}
}
