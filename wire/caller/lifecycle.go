package caller

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/verdict"
)

// run serves requests until the caller disconnects, the protocol is violated,
// a timeout expires or the server drains.
func (s *session) run() {
	for s.wait() {
		m, err := s.backend.Receive()
		s.setWaiting(false)
		if err != nil {
			s.receiveFailed(err)
			return
		}
		if _, ok := m.(*pgproto3.Terminate); ok {
			return
		}
		if err := s.handle(m); err != nil {
			s.closeWithError(err)
			return
		}
	}
}

// wait prepares for the next message. If the session has to end because the
// server drains, it informs the caller and returns false.
func (s *session) wait() bool {
	if s.prepareToWait() {
		return true
	}
	s.sendFatal(drainingError())
	return false
}

// prepareToWait sets the read deadline for the next message. It returns false
// if the server drains and the session is idle between requests.
func (s *session) prepareToWait() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	idle := s.status == statusIdle && s.pipeline == nil && !s.skipping
	if idle && s.server.draining.Load() {
		return false
	}
	deadline := time.Time{}
	if s.server.settings.IdleTimeout > 0 {
		deadline = time.Now().Add(s.server.settings.IdleTimeout)
	}
	_ = s.conn.SetReadDeadline(deadline)
	s.waiting = idle
	return true
}

func (s *session) setWaiting(w bool) {
	s.mu.Lock()
	s.waiting = w
	s.mu.Unlock()
}

// interrupt ends the read of a session that waits for a request. The server
// sets draining before it calls interrupt.
func (s *session) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting {
		_ = s.conn.SetReadDeadline(pastDeadline)
	}
}

func drainingError() error {
	return verdict.New(verdict.Draining, "this instance is leaving, connect again")
}

// receiveFailed ends the session after a read or decode error.
func (s *session) receiveFailed(err error) {
	var tooLong *pgproto3.ExceededMaxBodyLenErr
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.timedOut()
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), errors.Is(err, io.ErrClosedPipe):
		s.log.WithError(err).Debug("caller disconnected")
	case errors.As(err, &tooLong):
		s.closeWithError(newRefusal(sqlStateProtocolViolation, fmt.Sprintf("message of %d bytes exceeds the limit of %d", tooLong.ActualBodyLen, tooLong.MaxExpectedBodyLen)))
	default:
		var netErr net.Error
		if errors.As(err, &netErr) {
			s.log.WithError(err).Debug("caller connection failed")
			return
		}
		s.closeWithError(newRefusal(sqlStateProtocolViolation, err.Error()))
	}
}

func (s *session) timedOut() {
	switch {
	case s.server.draining.Load() && s.status == statusIdle:
		s.sendFatal(drainingError())
	case s.status != statusIdle:
		s.closeWithError(newRefusal(sqlStateIdleInTransaction, "terminating connection due to idle-in-transaction timeout"))
	default:
		s.closeWithError(newRefusal(sqlStateIdleSession, "terminating connection due to idle-session timeout"))
	}
}

// closeWithError logs the error that ends the session and sends it to the caller.
func (s *session) closeWithError(err error) {
	if errors.Is(err, errClosed) {
		s.log.WithError(err).Debug("caller connection failed")
		return
	}
	level := logrus.WarnLevel
	if s.server.draining.Load() {
		level = logrus.DebugLevel // a drain closes every caller
	}
	s.log.WithError(err).Log(level, "caller connection closed")
	s.sendFatal(err)
}

// sendFatal sends a FATAL error and closes the connection.
func (s *session) sendFatal(err error) {
	s.send(errorResponse(severityFatal, err))
	if s.flush() == nil {
		s.conn.linger()
	}
}
