package relay

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/core/source"
	"github.com/papayarail/papayarail/core/storeversion"
	"github.com/papayarail/papayarail/proxy/catalog"
	"github.com/papayarail/papayarail/proxy/peer"
)

// ErrStale means that the polled instance has no fresh snapshot of the store.
var ErrStale = errors.New("the asked instance has no fresh reading of the store")

const (
	methodPoll       = "reading"
	methodPollFaster = "hurry"
	methodConfig     = "config"
	// codeStale is the JSON-RPC error code for ErrStale; applications may use
	// codes from -32000 downwards.
	codeStale = -32001
	// longPollTimeout bounds the time that a poll waits for a newer read. There is one
	// every 0.3 s; after the timeout, an answer without changes shows that the polled
	// instance is alive.
	longPollTimeout = 350 * time.Millisecond
	// minCompressLength is the length in bytes from which an answer is compressed. Full
	// tables at a start have 10 to 300 KB, on links of 10 Mbit/s and more; deltas are
	// short.
	minCompressLength = 4096
	// maxInlineConfig is the length in bytes up to which a change of the configuration is
	// part of the answer to a poll. A longer one would delay the records, and answers to
	// 24 instances (source.Fanout) at a time would exceed the write timeout of peer.
	maxInlineConfig = 16 << 10
	// configPartSize is the length in bytes of one part of a longer change; on a link of
	// 20 Mbit/s, 24 parts, one for each polling instance, take 0.3 s.
	configPartSize = 24 << 10
	// configCompression is the compression level of such a change. It is compressed once and
	// passed on as it is: for 2,848 routes, level 6 takes 10 ms instead of 3 ms and saves 12
	// of 62 kB for each instance.
	configCompression = 6
	// configPartTimeout bounds the call for one part.
	configPartTimeout = time.Second
	// maxInflated bounds the decompressed length in bytes of an answer. The configuration
	// of 1,796 instances has 40 MB.
	maxInflated = 64 << 20
)

// pollRequest is the request of a poll.
type pollRequest struct {
	Known
	// Requester is the name of the polling instance.
	Requester string `json:"asker"`
	// ConfigSeen is the newest version of the configuration that is known to the polling
	// instance to exist. A newer one is answered at once, without waiting for a newer
	// read of the records. Nil means that the instance does not expect such answers.
	ConfigSeen *uint64 `json:"config_seen,omitempty"`
	// Confirmed is a cursor up to which the polling instance knows its version of the
	// configuration to be the newest one. It is sent if the polled instance may not know it.
	Confirmed *configCursor `json:"config_confirmed,omitempty"`
	// Leaving states since when members leave, in the store's time, as far as the polled
	// instance may not know it.
	Leaving catalog.Leaving `json:"leaving,omitempty"`
	// Announce lists instances to be announced in the store.
	Announce []source.Candidate `json:"announce,omitempty"`
}

// configCursor is the encoded form of a catalog.ConfigCursor.
type configCursor struct {
	Version storeversion.Version `json:"version"`
	At      time.Duration        `json:"at"`
}

// News is what a polling instance knows beyond its snapshot.
type News struct {
	// ConfigSeen is the newest version of the configuration that it knows to exist, if newer
	// than that it has.
	ConfigSeen uint64
	// ConfigConfirmed and Leaving are passed on to the polled instance, which may not know them;
	// see pollRequest.
	ConfigConfirmed catalog.ConfigCursor
	Leaving         catalog.Leaving
}

// encodedDelta is a Delta as JSON, compressed if it is long.
type encodedDelta struct {
	Plain      json.RawMessage `json:"plain,omitempty"`
	Compressed []byte          `json:"packed,omitempty"`
}

func encodeDelta(d Delta) (*encodedDelta, error) {
	raw, err := json.Marshal(d)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	if len(raw) < minCompressLength {
		return &encodedDelta{Plain: raw}, nil
	}
	compressed, err := deflate(raw, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	return &encodedDelta{Compressed: compressed}, nil
}

func deflate(raw []byte, level int) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, level)
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

func inflate(compressed []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxInflated))
	return raw, Class.Wrap(err)
}

func (e encodedDelta) decode() (d Delta, err error) {
	raw := []byte(e.Plain)
	if e.Compressed != nil {
		if raw, err = inflate(e.Compressed); err != nil {
			return d, err
		}
	}
	return d, Class.Wrap(json.Unmarshal(raw, &d))
}

// configRequest requests one part of the change of the configuration from version From
// to the newest one. Offset counts compressed bytes.
type configRequest struct {
	From   uint64 `json:"from,omitempty"`
	Offset int    `json:"offset,omitempty"`
}

type configAnswer struct {
	// Version is the version that the change leads to; only parts with the same version
	// belong together.
	Version uint64 `json:"version"`
	// Length is that of the whole compressed change, in bytes.
	Length int    `json:"length"`
	Part   []byte `json:"part"`
}

// pollAnswer is the encoded form of an Answer.
type pollAnswer struct {
	// Latest is an upper bound of the store's time when the request was received,
	// Earliest a lower bound when it was answered; both are 0 if not known.
	Latest   time.Duration `json:"latest,omitempty"`
	Earliest time.Duration `json:"earliest,omitempty"`
	encodedDelta
}

// Answer is the decoded answer to a poll.
type Answer struct {
	// Latest is an upper bound of the store's time when the request was received,
	// Earliest a lower bound when it was answered; both are 0 if not known.
	Latest, Earliest time.Duration
	Delta            Delta
}

// Source is an instance that serves polls of its snapshot.
type Source interface {
	// Cache returns its newest snapshot.
	Cache() *Cache
	// Unavailable reports whether it has no fresh snapshot, or gets its own from the
	// requester.
	Unavailable(requester string) bool
	// Announce queues instances to be announced in the store.
	Announce(all []source.Candidate)
	// ConfigOutdated tells that the requester has a newer configuration than this instance.
	ConfigOutdated(requester string)
	// PollFaster requests shorter read intervals for a while, because of a failover.
	PollFaster()
}

// Register adds the methods of this package to server, so that other instances can poll
// src.
func Register(server *peer.Server, src Source) {
	server.Handle(methodPoll, func(ctx context.Context, params json.RawMessage, _ <-chan struct{}) (any, *peer.Error) {
		var answer pollAnswer
		_, answer.Latest = src.Cache().storeNow()
		var req pollRequest
		if err := peer.Decode(params, &req); err != nil {
			return nil, err
		}
		req.Announce = slices.DeleteFunc(req.Announce, func(i source.Candidate) bool { return i.Check() != nil })
		if len(req.Announce) > 0 {
			src.Announce(req.Announce)
		}
		if req.Config > src.Cache().Known().Config {
			src.ConfigOutdated(req.Requester)
		}
		if req.Confirmed != nil {
			src.Cache().confirmFrom(req.Config, catalog.ConfigCursor{Version: req.Confirmed.Version, StoreNow: req.Confirmed.At})
		}
		if len(req.Leaving) > 0 {
			src.Cache().leavingFrom(req.Leaving)
		}
		if src.Unavailable(req.Requester) {
			return nil, peer.NewError(codeStale, ErrStale.Error())
		}
		ctx, cancel := context.WithTimeout(ctx, longPollTimeout)
		defer cancel()
		encoded, err := src.Cache().awaitNewer(ctx, req.Known, req.ConfigSeen)
		if err != nil {
			return nil, peer.NewError(codeStale, err.Error())
		}
		answer.encodedDelta = *encoded
		answer.Earliest, _ = src.Cache().storeNow()
		if answer.Latest == 0 {
			answer.Earliest = 0 // the bounds became known only while the poll waited
		}
		return answer, nil
	})
	server.Handle(methodConfig, func(_ context.Context, params json.RawMessage, _ <-chan struct{}) (any, *peer.Error) {
		var req configRequest
		if err := peer.Decode(params, &req); err != nil {
			return nil, err
		}
		answer, err := src.Cache().configPart(req)
		if err != nil {
			return nil, peer.NewError(codeStale, err.Error())
		}
		return answer, nil
	})
	server.Handle(methodPollFaster, func(context.Context, json.RawMessage, <-chan struct{}) (any, *peer.Error) {
		src.PollFaster()
		return struct{}{}, nil
	})
}

// Client polls one instance at a time. It is safe for concurrent use.
type Client struct {
	self   string
	domain string
	dial   peer.DialFunc
	log    *logrus.Entry

	mu   sync.Mutex
	peer *peer.Client // nil before the first Poll
}

// NewClient returns a Client for the instance self in the failure domain domain. It
// connects at the first call; a nil dial connects over TCP.
func NewClient(self, domain string, dial peer.DialFunc, log *logrus.Entry) *Client {
	return &Client{self: self, domain: domain, dial: dial, log: log}
}

// connectTo returns an RPC client for an instance, which connects at its first call.
func (c *Client) connectTo(instance source.Candidate) *peer.Client {
	return peer.NewClient(instance.Address, peer.Between(c.domain, instance.FailureDomain), c.dial, c.log)
}

// Poll long-polls an instance and returns what changed there since k. Without a newer
// read, the answer comes after 350 ms, or as soon as there is a version of the configuration
// that is newer than that of k and than news.ConfigSeen. The error is ErrStale if the instance has no
// fresh snapshot; other errors mean that it did not answer or that its answer is
// malformed.
func (c *Client) Poll(ctx context.Context, from source.Candidate, k Known, news News, announce []source.Candidate) (Answer, error) {
	c.mu.Lock()
	before := c.peer
	if before == nil || before.Address() != from.Address {
		c.peer = c.connectTo(from)
	}
	current := c.peer
	c.mu.Unlock()
	if before != nil && before != current {
		before.Close()
	}
	var answer pollAnswer
	seen := max(news.ConfigSeen, k.Config)
	request := pollRequest{Known: k, Requester: c.self, ConfigSeen: &seen, Leaving: news.Leaving, Announce: announce}
	if at := news.ConfigConfirmed; at.Version > 0 {
		request.Confirmed = &configCursor{at.Version, at.StoreNow}
	}
	err := current.Call(ctx, methodPoll, request, &answer)
	var answerErr *peer.Error
	switch {
	case err == nil:
		d, err := answer.decode()
		return Answer{answer.Latest, answer.Earliest, d}, err
	case errors.As(err, &answerErr) && answerErr.Code == codeStale:
		return Answer{}, ErrStale
	}
	c.Close() // do not reuse a connection that may be dead
	return Answer{}, Class.Wrap(err)
}

// FetchConfig fetches, in parts, the change of the configuration from a version to the
// newest one of the last polled instance, when it was too large for the answer to a
// poll. It fails if no instance was polled, if a call fails, or if the configuration
// changes before all parts are there.
func (c *Client) FetchConfig(ctx context.Context, from uint64) (*ConfigDelta, error) {
	current := c.currentPeer()
	if current == nil {
		return nil, Class.New("no instance has been polled yet")
	}
	return fetchConfig(ctx, current, from)
}

// FetchConfigFrom does what FetchConfig does, from any instance and on a connection of its
// own. Unlike FetchConfig, it also fetches a change that is small enough for the answer to
// a poll.
func (c *Client) FetchConfigFrom(ctx context.Context, instance source.Candidate, from uint64) (*ConfigDelta, error) {
	connection := c.connectTo(instance)
	defer connection.Close()
	return fetchConfig(ctx, connection, from)
}

// HasNewerConfig reports whether an instance answers that it has a newer configuration
// than a version.
func (c *Client) HasNewerConfig(ctx context.Context, instance source.Candidate, version uint64) bool {
	connection := c.connectTo(instance)
	defer connection.Close()
	var answer configAnswer
	err := connection.Call(ctx, methodConfig, configRequest{From: version}, &answer)
	return err == nil && answer.Version > version
}

func fetchConfig(ctx context.Context, instance *peer.Client, from uint64) (*ConfigDelta, error) {
	var compressed []byte
	var version uint64
	for {
		var answer configAnswer
		callCtx, cancel := context.WithTimeout(ctx, configPartTimeout)
		err := instance.Call(callCtx, methodConfig, configRequest{From: from, Offset: len(compressed)}, &answer)
		cancel()
		switch {
		case err != nil:
			return nil, Class.Wrap(err)
		case version != 0 && answer.Version != version:
			return nil, Class.New("configuration changed from version %d to %d while it was being fetched", version, answer.Version)
		case len(answer.Part) == 0 || answer.Length > maxInflated:
			return nil, Class.New("part at offset %d is empty, or length %d exceeds the limit", len(compressed), answer.Length)
		}
		version = answer.Version
		compressed = append(compressed, answer.Part...)
		if len(compressed) >= answer.Length {
			break
		}
	}
	raw, err := inflate(compressed)
	if err != nil {
		return nil, err
	}
	d := ConfigDelta{from: from, compressed: compressed}
	return &d, Class.Wrap(json.Unmarshal(raw, &d))
}

// PollFaster asks the last polled instance for shorter read intervals. It does nothing
// before the first Poll.
func (c *Client) PollFaster(ctx context.Context) error {
	current := c.currentPeer()
	if current == nil {
		return nil
	}
	return Class.Wrap(current.Call(ctx, methodPollFaster, struct{}{}, nil))
}

func (c *Client) currentPeer() *peer.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peer
}

// Close ends the connection; the next Poll opens a new one.
func (c *Client) Close() {
	if current := c.currentPeer(); current != nil {
		current.Close()
	}
}
