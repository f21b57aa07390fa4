package upstream

import (
	"errors"
	"fmt"
	"io"
	"syscall"
)

// checkIdle returns an error if input arrived while no exchange was running: the
// end of the connection, or a message that belongs to no request. Without this
// check, a request sent after the server has closed the connection would get
// the verdict "may have run".
func (c *Conn) checkIdle() error {
	if n := c.frontend.ReadBufferLen(); n > 0 {
		return fmt.Errorf("%d bytes arrived outside an exchange", n)
	}
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return fmt.Errorf("connection state: %w", err)
	}
	var state error
	err = raw.Read(func(fd uintptr) bool {
		state = peek(int(fd))
		return true
	})
	if err != nil {
		return fmt.Errorf("connection state: %w", err)
	}
	return state
}

// peek checks a socket for input without consuming it.
func peek(fd int) error {
	var buf [1]byte
	n, _, err := syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return nil
	case err != nil:
		return fmt.Errorf("connection state: %w", err)
	case n == 0:
		return io.EOF
	default:
		return errors.New("data arrived outside an exchange")
	}
}
