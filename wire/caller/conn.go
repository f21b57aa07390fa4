package caller

import (
	"errors"
	"io"
	"net"
	"os"
	"time"
)

const (
	// watchBufferBytes is read at most while an exchange runs.
	watchBufferBytes = 512
	// maxReadAheadBytes bounds what a caller can make the watch collect.
	maxReadAheadBytes = 4096
	// lingerTimeout and lingerBytes bound the wait for the caller to read the
	// last message. Closing a socket with unread input resets the connection,
	// which can destroy that message on its way.
	lingerTimeout = time.Second
	lingerBytes   = 64 << 10
)

// past is a deadline that interrupts I/O at once.
var pastDeadline = time.Unix(1, 0)

// callerConn is a caller's socket that can be watched for its end while no
// message is expected.
type callerConn struct {
	net.Conn
	readAhead []byte // read by a watch and not yet by Read
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

// watch calls ended if the connection ends before stop is called. A caller
// that has already sent more requests is watched only until they arrive.
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

// linger closes the connection after the caller had time to read what was
// written last.
func (c *callerConn) linger() {
	if h, ok := c.Conn.(interface{ CloseWrite() error }); ok && h.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	_ = c.Close()
}
