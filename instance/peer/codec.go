package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/zeebo/errs"
)

// Class groups the errors of this package.
var Class = errs.Class("peer")

const (
	// maxMessageBytes bounds one JSON-RPC message. It has room for the largest answer
	// that wire/upstream accepts, to which base64 adds a third.
	maxMessageBytes = 32 << 20
	// writeTimeout bounds one write, so that a peer that has stopped reading makes
	// the link fail.
	writeTimeout = 1500 * time.Millisecond
)

// boundedCodec is jsonrpc2's varint codec with a limit on the message length that
// a peer may announce.
type boundedCodec struct{ jsonrpc2.VarintObjectCodec }

func (c boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	header, err := stream.Peek(1)
	if err != nil {
		return err
	}
	for n := 2; header[len(header)-1]&0x80 != 0 && n <= binary.MaxVarintLen64; n++ {
		header, err = stream.Peek(n)
		if err != nil {
			return err
		}
	}
	size, used := binary.Uvarint(header)
	if used <= 0 || size > maxMessageBytes {
		return Class.New("message of %d bytes exceeds the limit of %d", size, maxMessageBytes)
	}
	return c.VarintObjectCodec.ReadObject(stream, v)
}

// writeDeadlineConn bounds the time of each write, so that a peer that does not read
// cannot block senders.
type writeDeadlineConn struct{ net.Conn }

func (c writeDeadlineConn) Write(b []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// debugLogger logs the messages of the JSON-RPC library at debug level: they report
// normal events too, such as a read on a link that this side has closed.
type debugLogger struct{ log *logrus.Entry }

func (d debugLogger) Printf(format string, v ...any) { d.log.Debugf(format, v...) }

func newStream(c net.Conn) jsonrpc2.ObjectStream {
	var rwc io.ReadWriteCloser = writeDeadlineConn{c}
	return jsonrpc2.NewBufferedStream(rwc, boundedCodec{})
}
