package caller

import (
	"errors"
	"io"
	"net"
	"os"
	"time"
)

const (
	// watchBufferBytes is the most that one watch reads while an exchange runs.
	watchBufferBytes = 512
	// maxReadAheadBytes limits the input that watches buffer before Read
	// takes it; at the limit, watch does nothing.
	maxReadAheadBytes = 4096
	// lingerTimeout and lingerBytes limit how long linger discards input before
	// it closes the socket. Closing a socket with unread input resets the
	// connection, which can destroy the last message before the caller reads it.
	lingerTimeout = time.Second
	lingerBytes   = 64 << 10
)

// pastDeadline is a deadline that interrupts I/O at once.
var pastDeadline = time.Unix(1, 0)

// callerConn is the connection of a caller. While an exchange runs, it can be
// watched for a disconnect.
type callerConn struct {
	net.Conn
	readAhead []byte // received by a watch and not yet returned by Read
}

func (c *callerConn) Read(b []byte) (int, error) {
	if len(c.readAhead) == 0 {
		return c.Conn.Read(b)
	}
	n := copy(b, c.readAhead)
	c.readAhead = c.readAhead[n:]
	if len(c.readAhead) == 0 {
		c.readAhead = nil
	}
	return n, nil
}

// watch calls ended if the connection ends before stop is called. It reads the
// connection once, so that a disconnect after further input goes unnoticed.
// Neither Read nor SetReadDeadline may be called before stop returns.
func (c *callerConn) watch(ended func()) (stop func()) {
	if len(c.readAhead) >= maxReadAheadBytes {
		return func() {}
	}
	_ = c.SetReadDeadline(time.Time{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		var buf [watchBufferBytes]byte
		n, err := c.Conn.Read(buf[:])
		c.readAhead = append(c.readAhead, buf[:n]...)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			ended()
		}
	}()
	return func() {
		_ = c.SetReadDeadline(pastDeadline)
		<-done
		_ = c.SetReadDeadline(time.Time{})
	}
}

// linger closes the connection after giving the caller time to read the last
// message.
func (c *callerConn) linger() {
	if h, ok := c.Conn.(interface{ CloseWrite() error }); ok && h.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	_ = c.Close()
}
