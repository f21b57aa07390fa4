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

// StartupParameter is the PostgreSQL startup parameter that marks a connection as a
// replication link. Its value is the name of the replica. After AuthenticationOk
// the link carries gob values.
const StartupParameter = "group.replica"

const (
	redialInterval   = 10 * time.Millisecond
	maxBatchEntries  = 256  // entries per message; the limit keeps confirmations flowing during catch-up
	receiveQueueSize = 4096 // received batches that may wait for the replication delay
)

var (
	errStaleLink = errs.New("replication link no longer matches the term or role of the member")
	errLinkCut   = errs.New("replication link is cut by a fault")
)

// Links runs the replication links of a node under the faults of its member.
type Links struct {
	Node   *Node
	Faults *fault.State
}

// Replicate keeps a link to the primary that the node follows until ctx ends.
func (l *Links) Replicate(ctx context.Context) {
	for ctx.Err() == nil {
		primary, term, changed := l.Node.followedPrimary()
		if primary.Name != "" {
			l.follow(ctx, primary, term)
			sleep(ctx, redialInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// follow runs one link to primary until the link breaks or the node follows another
// primary or term.
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
	_ = l.receive(ctx, conn, primary, term) // Replicate dials again after any error
}

// awaitChange blocks while the node follows primary in term, or until ctx ends.
func (l *Links) awaitChange(ctx context.Context, primary Peer, term uint64) {
	for {
		followed, currentTerm, changed := l.Node.followedPrimary()
		if followed != primary || currentTerm != term {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// dial opens a replication link to the primary at address.
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
	encoded, err := startup.Encode(nil)
	if err != nil {
		return errs.Wrap(err)
	}
	if _, err := conn.Write(encoded); err != nil {
		return errs.Wrap(err)
	}
	var ok [9]byte // AuthenticationOk: type byte, length 8, code 0
	if _, err := io.ReadFull(conn, ok[:]); err != nil {
		return errs.Wrap(err)
	}
	if ok[0] != 'R' {
		return errs.New("replication link was refused: no AuthenticationOk")
	}
	return nil
}

// closeOnCut closes conn when ctx ends or the link with peer is cut. The returned
// function closes conn as well and waits for the watching goroutine.
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

// awaitUsable waits while the member is frozen, and fails if the link with peer is
// cut. It is checked before entries are sent or applied and before confirmations
// count, so that nothing committed after a cut passes the link. Closing the
// connection alone would leave a short interval in which it could.
func (l *Links) awaitUsable(ctx context.Context, peer string) error {
	if err := l.Faults.AwaitUnfrozen(ctx); err != nil {
		return err
	}
	if !l.Faults.LinkUp(peer) {
		return errLinkCut
	}
	return nil
}

// receivedBatch is a batch and its time of receipt, from which the replication
// delay counts.
type receivedBatch struct {
	batch      batch
	receivedAt time.Time
}

// receive sends hello and then applies the batches of the primary, each after the
// replication delay.
func (l *Links) receive(ctx context.Context, conn net.Conn, primary Peer, term uint64) error {
	h, ok := l.Node.hello(term)
	if !ok {
		return errStaleLink
	}
	enc := gob.NewEncoder(conn)
	if err := enc.Encode(h); err != nil {
		return errs.Wrap(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	queue := make(chan receivedBatch, receiveQueueSize)
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

func readBatches(ctx context.Context, conn net.Conn, queue chan<- receivedBatch) {
	dec := gob.NewDecoder(bufio.NewReader(conn))
	for {
		var b batch
		if dec.Decode(&b) != nil {
			return
		}
		select {
		case queue <- receivedBatch{b, time.Now()}:
		case <-ctx.Done():
			return
		}
	}
}

func (l *Links) applyBatch(ctx context.Context, enc *gob.Encoder, primary Peer, r receivedBatch) error {
	if err := l.Faults.AwaitReplicationDelay(ctx, r.receivedAt); err != nil {
		return err
	}
	if err := l.awaitUsable(ctx, primary.Name); err != nil {
		return err
	}
	c, ok := l.Node.apply(primary, r.batch)
	if !ok {
		return errStaleLink
	}
	return errs.Wrap(enc.Encode(c))
}

// Serve sends the log to the replica member over an accepted link. It returns an
// error when the link breaks, ctx ends, or the node is not primary of the replica's
// term.
func (l *Links) Serve(ctx context.Context, conn net.Conn, member string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer l.closeOnCut(ctx, conn, member)()
	dec := gob.NewDecoder(bufio.NewReader(conn))
	var h hello
	if err := dec.Decode(&h); err != nil {
		return errs.Wrap(err)
	}
	if err := l.awaitUsable(ctx, member); err != nil {
		return err
	}
	start, ok := l.Node.startBatch(h)
	if !ok {
		return errStaleLink
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
		if dec.Decode(&c) != nil || l.awaitUsable(ctx, member) != nil {
			return
		}
		l.Node.confirm(member, c)
	}
}

// send streams the log entries after the offset sent.
func (l *Links) send(ctx context.Context, enc *gob.Encoder, member string, term, sent uint64) error {
	for {
		entries, changed, ok := l.Node.entriesAfter(term, sent)
		if !ok {
			return errStaleLink
		}
		if len(entries) == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-changed:
			}
			continue
		}
		if err := l.awaitUsable(ctx, member); err != nil {
			return err
		}
		entries = entries[:min(len(entries), maxBatchEntries)]
		if err := enc.Encode(batch{Term: term, Entries: entries}); err != nil {
			return errs.Wrap(err)
		}
		sent += uint64(len(entries))
	}
}
