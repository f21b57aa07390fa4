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
	// maxMessageBytes bounds one JSON-RPC message; base64 adds a third to an
	// answer of wire/upstream's limit.
	maxMessageBytes = 32 << 20
	// writeTimeout closes a link whose peer has stopped reading.
	writeTimeout = 1500 * time.Millisecond
)

// limitedCodec is jsonrpc2's varint codec with a bound on the length that a
// peer may announce.
type limitedCodec struct{ jsonrpc2.VarintObjectCodec }

func (c limitedCodec) ReadObject(stream *bufio.Reader, v any) error {
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

// deadlineConn bounds each write, so that a frozen peer cannot block senders.
type deadlineConn struct{ net.Conn }

func (c deadlineConn) Write(b []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// debugLogger receives what the JSON-RPC library reports, such as a read on a
// link that this side has closed.
type debugLogger struct{ log *logrus.Entry }

func (d debugLogger) Printf(format string, v ...any) { d.log.Debugf(format, v...) }

func newStream(c net.Conn) jsonrpc2.ObjectStream {
	var rwc io.ReadWriteCloser = deadlineConn{c}
	return jsonrpc2.NewBufferedStream(rwc, limitedCodec{})
}
