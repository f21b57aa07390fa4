package relay

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/proxy/peer"
)

// ErrStoreAway means that the asked instance has no fresh reading of the store.
var ErrStoreAway = errors.New("the asked instance has no fresh reading of the store")

const (
	methodReading = "reading"
	methodHurry   = "hurry"
	// codeStoreAway is the JSON-RPC error code for ErrStoreAway; the range from
	// -32000 is free for applications.
	codeStoreAway = -32001
	// holdLimit is how long an asker waits for a newer reading at most. There is
	// one every 0.3 s; after this time the answer says that the asked instance is
	// alive.
	holdLimit = 350 * time.Millisecond
	// packFrom is the length from which an answer is compressed. Whole lists at a
	// start are 10 to 300 KB, on links of 10 Mbit/s and more; changes are short.
	packFrom = 4096
	// maxUnpacked bounds an answer: 10,000 routes of 200 bytes.
	maxUnpacked = 4 << 20
)

// question is a call for a reading.
type question struct {
	Known
	// Asker is the asking instance.
	Asker string `json:"asker"`
	// Announce lists instances that want to be announced in the store.
	Announce []source.Candidate `json:"announce,omitempty"`
}

// message is an encoded Delta.
type message struct {
	Plain  json.RawMessage `json:"plain,omitempty"`
	Packed []byte          `json:"packed,omitempty"`
}

func pack(d Delta) (*message, error) {
	raw, err := json.Marshal(d)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	if len(raw) < packFrom {
		return &message{Plain: raw}, nil
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	if _, err := w.Write(raw); err != nil {
		return nil, Class.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, Class.Wrap(err)
	}
	return &message{Packed: b.Bytes()}, nil
}

func (m message) unpack() (d Delta, err error) {
	raw := []byte(m.Plain)
	if m.Packed != nil {
		raw, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(m.Packed)), maxUnpacked))
		if err != nil {
			return d, Class.Wrap(err)
		}
	}
	return d, Class.Wrap(json.Unmarshal(raw, &d))
}

// wireAnswer is an Answer on its way.
type wireAnswer struct {
	// Latest is the store's time at the latest when the call was handled, Earliest
	// its time at the earliest when it was answered; zeros if they are not known.
	Latest   time.Duration `json:"latest,omitempty"`
	Earliest time.Duration `json:"earliest,omitempty"`
	message
}

// Answer is what another instance answered.
type Answer struct {
	Latest, Earliest time.Duration
	Delta            Delta
}

// Source is the instance whose readings are passed on.
type Source interface {
	// State returns its newest reading.
	State() *State
	// Away reports whether it cannot get fresh readings, except from the asker.
	Away(asker string) bool
	// Announce takes in instances that want to be announced.
	Announce(all []source.Candidate)
	// Hurry asks for readings in shorter intervals: a primary is being replaced.
	Hurry()
}

// Register lets other instances ask for readings of the store.
func Register(server *peer.Server, src Source) {
	server.Handle(methodReading, func(ctx context.Context, params json.RawMessage, _ <-chan struct{}) (any, *peer.Error) {
		var a wireAnswer
		_, a.Latest = src.State().storeNow()
		var q question
		if err := peer.Decode(params, &q); err != nil {
			return nil, err
		}
		if len(q.Announce) > 0 {
			src.Announce(q.Announce)
		}
		if src.Away(q.Asker) {
			return nil, peer.NewError(codeStoreAway, ErrStoreAway.Error())
		}
		ctx, cancel := context.WithTimeout(ctx, holdLimit)
		defer cancel()
		m, err := src.State().await(ctx, q.Known)
		if err != nil {
			return nil, peer.NewError(codeStoreAway, err.Error())
		}
		a.message = *m
		a.Earliest, _ = src.State().storeNow()
		if a.Latest == 0 {
			a.Earliest = 0 // the bounds became known meanwhile
		}
		return a, nil
	})
	server.Handle(methodHurry, func(context.Context, json.RawMessage, <-chan struct{}) (any, *peer.Error) {
		src.Hurry()
		return struct{}{}, nil
	})
}

// Client asks one instance at a time. It is safe for concurrent use.
type Client struct {
	self string
	dial peer.DialFunc
	log  *logrus.Entry

	mu   sync.Mutex
	peer *peer.Client // nil before the first Ask
}

// NewClient returns a Client of an instance, without a connection. A nil dial
// connects over TCP.
func NewClient(self string, dial peer.DialFunc, log *logrus.Entry) *Client {
	return &Client{self: self, dial: dial, log: log}
}

// Ask returns what changed at the candidate since k. It waits for a newer reading
// for a while. The error is ErrStoreAway if the candidate said so.
func (c *Client) Ask(ctx context.Context, from source.Candidate, k Known, announce []source.Candidate) (Answer, error) {
	c.mu.Lock()
	before := c.peer
	if before == nil || before.Address() != from.Address {
		c.peer = peer.NewClient(from.Address, c.dial, c.log)
	}
	asked := c.peer
	c.mu.Unlock()
	if before != nil && before != asked {
		before.Close()
	}
	var a wireAnswer
	err := asked.Call(ctx, methodReading, question{k, c.self, announce}, &a)
	var answered *peer.Error
	switch {
	case err == nil:
		d, err := a.unpack()
		return Answer{a.Latest, a.Earliest, d}, err
	case errors.As(err, &answered) && answered.Code == codeStoreAway:
		return Answer{}, ErrStoreAway
	}
	c.Close() // a silent connection is not used again
	return Answer{}, Class.Wrap(err)
}

// Hurry asks the last asked instance for readings in shorter intervals.
func (c *Client) Hurry(ctx context.Context) error {
	asked := c.asked()
	if asked == nil {
		return nil
	}
	return Class.Wrap(asked.Call(ctx, methodHurry, struct{}{}, nil))
}

func (c *Client) asked() *peer.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peer
}

// Close ends the connection; the next Ask opens a new one.
func (c *Client) Close() {
	if asked := c.asked(); asked != nil {
		asked.Close()
	}
}
