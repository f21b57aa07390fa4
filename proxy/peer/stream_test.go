package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"
)

// listener accepts one end of each pipe that dial makes.
type listener struct {
	net.Listener
	incoming chan net.Conn
	closed   chan struct{}
	written  atomic.Int64 // bytes written by dialling ends
	frames   atomic.Int64 // frames among these writes
}

func newListener(t *testing.T) *listener {
	l := &listener{incoming: make(chan net.Conn), closed: make(chan struct{})}
	t.Cleanup(func() { close(l.closed) })
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	l.incoming <- far
	return writeCounter{near, l}, nil
}

type writeCounter struct {
	net.Conn
	l *listener
}

func (c writeCounter) Write(b []byte) (int, error) {
	c.l.written.Add(int64(len(b)))
	if b[0] == frameMarker {
		c.l.frames.Add(1)
	}
	return c.Conn.Write(b)
}

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// startEcho serves the method echo, which answers its parameters.
func startEcho(t *testing.T) *listener {
	l := newListener(t)
	server := NewServer(discardLog())
	server.Handle("echo", func(_ context.Context, params json.RawMessage, _ <-chan struct{}) (any, *Error) { return params, nil })
	go func() { _ = server.Serve(l) }() // ends with the listener
	return l
}

func (l *listener) client(t *testing.T, compression Compression) *Client {
	c := NewClient("echo", compression, l.dial, discardLog())
	t.Cleanup(c.Close)
	return c
}

func echo(t *testing.T, c *Client, text string) {
	t.Helper()
	var got string
	assert.NilError(t, c.Call(t.Context(), "echo", text, &got))
	assert.Assert(t, got == text, "answer of %d bytes differs", len(got))
}

// compressing returns a client whose connection has agreed on compression.
func (l *listener) compressing(t *testing.T) *Client {
	c := l.client(t, true)
	for deadline := time.Now().Add(10 * time.Second); l.frames.Load() == 0; {
		assert.Assert(t, time.Now().Before(deadline), "no compressed message")
		echo(t, c, strings.Repeat("x", minCompressLength))
	}
	return c
}

// Guards against messages that change on the way: short and empty ones, those around the
// bounds of compression, ones that compression would lengthen, and many at the same time.
func TestConcurrentCalls(t *testing.T) {
	l := startEcho(t)
	clients := []*Client{l.compressing(t), l.compressing(t), l.client(t, false)}
	var calls sync.WaitGroup
	for i, c := range clients {
		for j := range 8 {
			calls.Go(func() {
				r := rand.New(rand.NewPCG(uint64(i), uint64(j)))
				for _, n := range []int{0, 1, minCompressLength, 1400, 5000, 40_000} {
					b := make([]byte, n)
					for k := range b {
						b[k] = ' ' + byte(r.IntN(95))
					}
					echo(t, c, string(b))
				}
			})
		}
	}
	calls.Wait()
	for _, n := range []int{maxCompressLength - 100, maxCompressLength, 2 * maxFrameLength} {
		echo(t, clients[0], strings.Repeat("ab", n/2))
	}
}

// Guards the load of processors inside of a failure domain, where traffic costs nothing.
func TestNoCompressionInsideDomain(t *testing.T) {
	l := startEcho(t)
	c := l.client(t, Between("a", "a"))
	for range 3 {
		echo(t, c, strings.Repeat("x", 4000))
	}
	assert.Equal(t, l.frames.Load(), int64(0))
	assert.Assert(t, l.written.Load() > 3*4000)
}

// earlierRelease answers calls as an earlier release does: plain lines, and an error for
// unknown methods.
type earlierRelease struct{}

func (earlierRelease) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Method != "echo" {
		_ = conn.ReplyWithError(ctx, req.ID, &Error{Code: jsonrpc2.CodeMethodNotFound, Message: "method " + req.Method + " is not served"})
		return
	}
	_ = conn.Reply(ctx, req.ID, req.Params)
}

// Guards a rolling upgrade: an instance must be able to call one of an earlier release,
// whose list of instances says nothing about compression, and to answer its calls.
func TestEarlierRelease(t *testing.T) {
	text := strings.Repeat("statement ", 100)
	t.Run("earlier server", func(t *testing.T) {
		l := newListener(t)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				jsonrpc2.NewConn(context.Background(), jsonrpc2.NewPlainObjectStream(c), jsonrpc2.AsyncHandler(earlierRelease{}), jsonrpc2.SetLogger(connectionLogger{discardLog()}))
			}
		}()
		c := l.client(t, true)
		for range 100 {
			echo(t, c, text)
		}
		assert.Equal(t, l.frames.Load(), int64(0))
	})
	t.Run("earlier caller", func(t *testing.T) {
		l := startEcho(t)
		netConn, err := l.dial(t.Context(), "")
		assert.NilError(t, err)
		conn := jsonrpc2.NewConn(t.Context(), jsonrpc2.NewPlainObjectStream(netConn), rejectRequests{}, jsonrpc2.SetLogger(connectionLogger{discardLog()}))
		defer func() { _ = conn.Close() }() // the connection is not used again
		for range 10 {
			var got string
			assert.NilError(t, conn.Call(t.Context(), "echo", text, &got))
			assert.Equal(t, got, text)
		}
	})
	t.Run("other dictionary", func(t *testing.T) {
		l := startEcho(t)
		c := l.client(t, false)
		for _, formats := range [][]string{nil, {"flate-00000000"}} {
			var answer compressAnswer
			assert.NilError(t, c.Call(t.Context(), methodCompress, compressRequest{formats}, &answer))
			assert.Equal(t, answer.Format, "")
		}
		assert.NilError(t, c.Call(t.Context(), methodCompress, 7, nil))
		echo(t, c, text)
	})
}

func frameOf(t *testing.T, message string) []byte {
	var b bytes.Buffer
	assert.NilError(t, appendFrame(&b, []byte(message)))
	return b.Bytes()
}

func read(frame []byte) (string, error) {
	r := bufio.NewReader(bytes.NewReader(frame))
	if _, err := r.Discard(1); err != nil {
		return "", err
	}
	var message bytes.Buffer
	err := readFrame(r, &message)
	return message.String(), err
}

func header(length, compressedLength uint64) []byte {
	return binary.AppendUvarint(binary.AppendUvarint([]byte{frameMarker}, length), compressedLength)
}

// Guards the memory of an instance against frames that claim more than the limit, or more
// than they hold, and against ones that hold more than they claim.
func TestFrameBounds(t *testing.T) {
	zeros := make([]byte, 4*maxFrameLength)
	var bomb bytes.Buffer
	assert.NilError(t, deflate(&bomb, zeros))
	for name, frame := range map[string][]byte{
		"claims 1 TiB":             header(1<<40, 10),
		"claims just too much":     header(maxFrameLength+1, 10),
		"claims 1 TiB compressed":  header(10, 1<<40),
		"overlong varint":          append([]byte{frameMarker}, bytes.Repeat([]byte{0xff}, 11)...),
		"holds less than it says":  append(header(maxFrameLength, maxFrameLength), "short"...),
		"holds more when inflated": append(header(1000, uint64(bomb.Len())), bomb.Bytes()...),
	} {
		_, err := read(frame) // fills the pools
		assert.Assert(t, err != nil, name)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err = read(frame)
		runtime.ReadMemStats(&after)
		assert.Assert(t, err != nil, name)
		allocated := after.TotalAlloc - before.TotalAlloc
		assert.Assert(t, allocated < maxFrameLength, "%s: allocated %d bytes", name, allocated)
	}
}

// Guards against a truncated or damaged frame that is taken for a message: a truncated one
// is an error at each length, and a damaged one never yields more than it claims.
func TestDamagedFrame(t *testing.T) {
	message := `{"id":7,"result":{"result":{"rows":["` + strings.Repeat("hjkqwxv", 40) + `"]}},"jsonrpc":"2.0"}`
	frame := frameOf(t, message)
	got, err := read(frame)
	assert.NilError(t, err)
	assert.Equal(t, got, message)
	for n := 1; n < len(frame); n++ {
		_, err := read(frame[:n])
		assert.Assert(t, err != nil, "truncated to %d bytes", n)
	}
	for i := 8; i < 8*len(frame); i++ {
		damaged := bytes.Clone(frame)
		damaged[i/8] ^= 1 << (i % 8)
		got, err := read(damaged)
		assert.Assert(t, err != nil || len(got) <= maxFrameLength && i/8 > 2, "bit %d", i)
	}
	got, err = read(append(header(uint64(len(message)), uint64(len(frame)-len(header(uint64(len(message)), 200))+1)), append(frame[len(header(uint64(len(message)), 200)):], 0)...))
	assert.Assert(t, err != nil, "bytes after the message: %q", got)
}

// Guards the calls of other connections, and later ones, against a connection on which
// invalid frames arrive: it is closed.
func TestInvalidFramesOnConnection(t *testing.T) {
	l := startEcho(t)
	other := l.compressing(t)
	frame := frameOf(t, `{"method":"echo","params":"`+strings.Repeat("x", 200)+`","id":1,"jsonrpc":"2.0"}`)
	frame[len(frame)/2] ^= 0xff
	for name, sent := range map[string][]byte{
		"frame bomb": header(1<<40, 1<<40),
		"damaged":    frame,
		"no JSON":    frameOf(t, strings.Repeat("no JSON ", 30)),
		"line":       []byte("no JSON\n"),
	} {
		c, err := l.dial(t.Context(), "")
		assert.NilError(t, err)
		assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
		_, _ = c.Write(sent) // the server may close the connection before it has read all
		_, err = c.Read(make([]byte, 1))
		assert.Equal(t, err, io.EOF, name)
		echo(t, other, name)
	}
}

// BenchmarkCompression measures the time for a message of each kind.
func BenchmarkCompression(b *testing.B) {
	r := rand.New(rand.NewPCG(1, 2))
	text := func(n int) string {
		t := make([]byte, n)
		for i := range t {
			t[i] = 'a' + byte(r.IntN(26))
		}
		return string(t)
	}
	for name, message := range map[string]string{
		"request": fmt.Sprintf(`{"method":"execute","params":{"service":"colle-3","member":"colle-3-b","primary":true,"job":{"statement":{"ID":"q1","Kind":4,"Operands":"%s"},"caller":"i17-3021","left":3996600000,"due":246600000,"limit":1000000000}},"id":83,"jsonrpc":"2.0"}`, text(400)),
		"answer":  fmt.Sprintf(`{"id":83,"result":{"result":{"rows":["%s"],"signature":"7.1f3a209bc4","position":{"term":3,"offset":1209377}},"load":{"wait":7100000}},"jsonrpc":"2.0"}`, text(1000)),
	} {
		var frame bytes.Buffer
		b.Run(name+"/write", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				frame.Reset()
				if err := appendFrame(&frame, []byte(message)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(frame.Len()), "bytes")
		})
		b.Run(name+"/read", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := read(frame.Bytes()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
