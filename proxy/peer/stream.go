package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// minCompressLength is the length in bytes from which a message is compressed. A
	// shorter one saves less than the header of its packet has.
	minCompressLength = 128
	// maxCompressLength is the length in bytes up to which a message is compressed: a
	// longer one would hold a compressor for more than 3 ms of processor time. Statements
	// are short, and long snapshots of the store are already compressed by the package
	// relay.
	maxCompressLength = 64 << 10
	// maxFrameLength bounds the decompressed length in bytes of a frame that is read. It
	// exceeds maxCompressLength so that a later release may compress longer messages.
	maxFrameLength = 1 << 20
	// maxLineLength bounds a plain message in bytes: the greatest answer of the package
	// relay, 64 MiB, in base64.
	maxLineLength = 96 << 20
	// maxPooledBuffer is the capacity in bytes up to which a buffer is kept for reuse.
	maxPooledBuffer = 64 << 10
)

// stream is the sequence of messages on one connection. A message is either one line of
// JSON, or a compressed frame, which a first byte that JSON never has distinguishes. Both
// are always read; compressed ones are written once the other side has stated that it
// reads them. Each message is compressed on its own: a compressor has 650 kB, and an
// instance has connections to a hundred others.
//
// It implements jsonrpc2.ObjectStream. The library never calls WriteObject concurrently,
// nor ReadObject.
type stream struct {
	conn     net.Conn
	r        *bufio.Reader
	compress atomic.Bool
}

var _ jsonrpc2.ObjectStream = (*stream)(nil)

func newStream(c net.Conn) *stream {
	return &stream{conn: writeTimeoutConn{c}, r: bufio.NewReader(c)}
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func getBuffer() *bytes.Buffer {
	b := buffers.Get().(*bytes.Buffer)
	b.Reset()
	return b
}

func putBuffer(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBuffer {
		buffers.Put(b)
	}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(message any) error {
	line := getBuffer()
	defer putBuffer(line)
	if err := json.NewEncoder(line).Encode(message); err != nil {
		return Class.Wrap(err)
	}
	if s.compress.Load() && line.Len() >= minCompressLength && line.Len() <= maxCompressLength {
		frame := getBuffer()
		defer putBuffer(frame)
		if err := appendFrame(frame, line.Bytes()); err != nil {
			return err
		}
		if frame.Len() < line.Len() {
			line = frame
		}
	}
	_, err := s.conn.Write(line.Bytes())
	return err
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(message any) error {
	first, err := s.r.ReadByte()
	if err != nil {
		return err
	}
	content := getBuffer()
	defer putBuffer(content)
	if first == frameMarker {
		err = readFrame(s.r, content)
	} else {
		content.WriteByte(first)
		err = readLine(s.r, content)
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(content.Bytes(), message)
}

// readLine appends the rest of a line to line.
func readLine(r *bufio.Reader, line *bytes.Buffer) error {
	for {
		part, err := r.ReadSlice('\n')
		line.Write(part)
		switch {
		case line.Len() > maxLineLength:
			return Class.New("message is longer than %d bytes", maxLineLength)
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != bufio.ErrBufferFull:
			return err
		}
	}
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }

// methodCompress states the formats of frames that the calling instance reads and writes.
// An instance that knows none of them, or an earlier release, which does not know the
// method, goes on with plain lines in both directions.
const methodCompress = "compress"

type compressRequest struct {
	Formats []string `json:"formats"`
}

type compressAnswer struct {
	// Format is the one of the requested formats that is in use from now on; empty if none.
	Format string `json:"format,omitempty"`
}

// requestCompression compresses the messages that follow once the other instance has
// answered that it reads them. Calls do not wait for that answer: a new connection costs
// them no further round trip.
func (s *stream) requestCompression(conn *jsonrpc2.Conn) {
	var answer compressAnswer
	// The end of the connection ends the call, so that it needs no timeout.
	err := conn.Call(context.Background(), methodCompress, compressRequest{[]string{frameFormat}}, &answer)
	if err == nil && answer.Format == frameFormat {
		s.compress.Store(true)
	}
}

// acceptCompression answers a call of methodCompress.
func (s *stream) acceptCompression(params *json.RawMessage) compressAnswer {
	var req compressRequest
	if params == nil || json.Unmarshal(*params, &req) != nil || !slices.Contains(req.Formats, frameFormat) {
		return compressAnswer{}
	}
	s.compress.Store(true)
	return compressAnswer{frameFormat}
}
