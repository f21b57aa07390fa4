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

// ErrStale means that the asked instance has no fresh reading of the store.
var ErrStale = errors.New("the asked instance has no fresh reading of the store")

const (
	methodReading = "reading"
	methodHurry   = "hurry"
	methodConfig  = "config"
	// codeStoreAway is the JSON-RPC error code for ErrStale; the range from
	// -32000 is free for applications.
	codeStoreAway = -32001
	// holdLimit is how long an asker waits for a newer reading at most. There is
	// one every 0.3 s; after this time the answer says that the asked instance is
	// alive.
	holdLimit = 350 * time.Millisecond
	// packFrom is the length from which an answer is compressed. Whole lists at a
	// start are 10 to 300 KB, on links of 10 Mbit/s and more; changes are short.
	packFrom = 4096
	// inlineConfig is the length up to which a change of the configuration is part of
	// an answer. A longer one would hold up the evidence, and the answer to 24
	// instances at a time would exceed the time for a write.
	inlineConfig = 16 << 10
	// configPartSize is the length of a part of such a configuration; on a link of
	// 20 Mbit/s, 24 of them take 0.3 s.
	configPartSize = 24 << 10
	// configPartTimeout bounds the fetching of one part.
	configPartTimeout = time.Second
	// maxUnpacked bounds an answer. The configuration of 1,796 instances has 40 MB.
	maxUnpacked = 64 << 20
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
	packed, err := deflate(raw)
	if err != nil {
		return nil, err
	}
	return &message{Packed: packed}, nil
}

func deflate(raw []byte) ([]byte, error) {
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
	return b.Bytes(), nil
}

func inflate(packed []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpacked))
	return raw, Class.Wrap(err)
}

func (m message) unpack() (d Delta, err error) {
	raw := []byte(m.Plain)
	if m.Packed != nil {
		if raw, err = inflate(m.Packed); err != nil {
			return d, err
		}
	}
	return d, Class.Wrap(json.Unmarshal(raw, &d))
}

// configQuestion asks for a part of what leads from a version of the configuration
// to the newest one.
type configQuestion struct {
	From   uint64 `json:"from,omitempty"`
	Offset int    `json:"offset,omitempty"`
}

type configAnswer struct {
	// Version is the one to which it leads; parts belong together if it is the same.
	Version uint64 `json:"version"`
	Length  int    `json:"length"`
	Part    []byte `json:"part"`
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
	// Cache returns its newest reading.
	Cache() *Cache
	// Unavailable reports whether it cannot get fresh readings, except from the asker.
	Unavailable(asker string) bool
	// Announce takes in instances that want to be announced.
	Announce(all []source.Candidate)
	// PollFaster asks for readings in shorter intervals: a primary is being replaced.
	PollFaster()
}

// Register lets other instances ask for readings of the store.
func Register(server *peer.Server, src Source) {
	server.Handle(methodReading, func(ctx context.Context, params json.RawMessage, _ <-chan struct{}) (any, *peer.Error) {
		var a wireAnswer
		_, a.Latest = src.Cache().storeNow()
		var q question
		if err := peer.Decode(params, &q); err != nil {
			return nil, err
		}
		if len(q.Announce) > 0 {
			src.Announce(q.Announce)
		}
		if src.Unavailable(q.Asker) {
			return nil, peer.NewError(codeStoreAway, ErrStale.Error())
		}
		ctx, cancel := context.WithTimeout(ctx, holdLimit)
		defer cancel()
		m, err := src.Cache().await(ctx, q.Known)
		if err != nil {
			return nil, peer.NewError(codeStoreAway, err.Error())
		}
		a.message = *m
		a.Earliest, _ = src.Cache().storeNow()
		if a.Latest == 0 {
			a.Earliest = 0 // the bounds became known meanwhile
		}
		return a, nil
	})
	server.Handle(methodConfig, func(_ context.Context, params json.RawMessage, _ <-chan struct{}) (any, *peer.Error) {
		var q configQuestion
		if err := peer.Decode(params, &q); err != nil {
			return nil, err
		}
		a, err := src.Cache().configPart(q)
		if err != nil {
			return nil, peer.NewError(codeStoreAway, err.Error())
		}
		return a, nil
	})
	server.Handle(methodHurry, func(context.Context, json.RawMessage, <-chan struct{}) (any, *peer.Error) {
		src.PollFaster()
		return struct{}{}, nil
	})
}

// Client asks one instance at a time. It is safe for concurrent use.
type Client struct {
	self string
	dial peer.DialFunc
	log  *logrus.Entry

	mu   sync.Mutex
	peer *peer.Client // nil before the first Poll
}

// NewClient returns a Client of an instance, without a connection. A nil dial
// connects over TCP.
func NewClient(self string, dial peer.DialFunc, log *logrus.Entry) *Client {
	return &Client{self: self, dial: dial, log: log}
}

// Poll returns what changed at the candidate since k. It waits for a newer reading
// for a while. The error is ErrStale if the candidate said so.
func (c *Client) Poll(ctx context.Context, from source.Candidate, k Known, announce []source.Candidate) (Answer, error) {
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
		return Answer{}, ErrStale
	}
	c.Close() // a silent connection is not used again
	return Answer{}, Class.Wrap(err)
}

// Config fetches what leads from a version of the configuration to the newest one
// of the last asked instance, which was too large for its answer.
func (c *Client) FetchConfig(ctx context.Context, from uint64) (*ConfigDelta, error) {
	asked := c.asked()
	if asked == nil {
		return nil, Class.New("no instance was asked")
	}
	var packed []byte
	var version uint64
	for {
		var a configAnswer
		call, cancel := context.WithTimeout(ctx, configPartTimeout)
		err := asked.Call(call, methodConfig, configQuestion{From: from, Offset: len(packed)}, &a)
		cancel()
		switch {
		case err != nil:
			return nil, Class.Wrap(err)
		case version != 0 && a.Version != version:
			return nil, Class.New("configuration changed from version %d to %d", version, a.Version)
		case len(a.Part) == 0 || a.Length > maxUnpacked:
			return nil, Class.New("part %d of %d is empty or too long", len(packed), a.Length)
		}
		version = a.Version
		packed = append(packed, a.Part...)
		if len(packed) >= a.Length {
			break
		}
	}
	raw, err := inflate(packed)
	if err != nil {
		return nil, err
	}
	var d ConfigDelta
	return &d, Class.Wrap(json.Unmarshal(raw, &d))
}

// PollFaster asks the last asked instance for readings in shorter intervals.
func (c *Client) PollFaster(ctx context.Context) error {
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

// Close ends the connection; the next Poll opens a new one.
func (c *Client) Close() {
	if asked := c.asked(); asked != nil {
		asked.Close()
	}
}
