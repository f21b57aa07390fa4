// Package platformd is a stand-in for the platform: an HTTP server with the
// subset of the DynamoDB JSON protocol and of S3 that papayarail uses, in
// memory, with a lagging instance list and configurable faults.
package platformd

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("platformd")

const (
	// DefaultInstanceLag is the age of the instance list.
	DefaultInstanceLag = 2 * time.Second
	// DefaultPollInterval is the time between two health checks of an instance.
	DefaultPollInterval = time.Second
	// DefaultPageSize is the number of items in one page of a query.
	DefaultPageSize = 1000

	maxBodyBytes   = 16 << 20
	maxHealthBytes = 1 << 16
)

// Config configures a Server.
type Config struct {
	Address      string           // of the table and the object store; empty means 127.0.0.1:0
	FaultAddress string           // of /fault and /state; empty means 127.0.0.1:0
	Instances    []InstanceConfig // polled for the instance list
	InstanceLag  time.Duration    // 0 means DefaultInstanceLag
	PollInterval time.Duration    // 0 means DefaultPollInterval
	PageSize     int              // 0 means DefaultPageSize
}

// InstanceConfig names an instance of the instance list.
type InstanceConfig struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	PeerAddress   string `json:"peer_address"`
	HealthURL     string `json:"health_url"`
}

// Server is the stand-in. All methods are safe for concurrent use.
type Server struct {
	config  Config
	tables  *tables
	objects *objects
	faults  *faults
	list    *instanceList
	counts  *counts

	control         *http.Server
	controlListener net.Listener
	done            chan struct{}
	work            sync.WaitGroup

	mu       sync.Mutex
	address  string
	data     *http.Server
	listener net.Listener
	serving  bool
	closed   bool
}

// New opens the listeners. Serve starts to answer.
func New(c Config) (*Server, error) {
	c.Address = orDefault(c.Address, "127.0.0.1:0")
	c.FaultAddress = orDefault(c.FaultAddress, "127.0.0.1:0")
	c.InstanceLag = orDefault(c.InstanceLag, DefaultInstanceLag)
	c.PollInterval = orDefault(c.PollInterval, DefaultPollInterval)
	c.PageSize = orDefault(c.PageSize, DefaultPageSize)
	listener, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	control, err := net.Listen("tcp", c.FaultAddress)
	if err != nil {
		listener.Close()
		return nil, Error.Wrap(err)
	}
	s := &Server{
		config:          c,
		tables:          newTables(),
		objects:         newObjects(),
		faults:          &faults{},
		list:            newInstanceList(c.InstanceLag),
		counts:          newCounts(),
		control:         &http.Server{},
		controlListener: control,
		done:            make(chan struct{}),
		address:         listener.Addr().String(),
		listener:        listener,
	}
	s.control.Handler = s.controlMux()
	return s, nil
}

func orDefault[T comparable](value, byDefault T) T {
	var zero T
	if value == zero {
		return byDefault
	}
	return value
}

// Addr returns the address of the table and the object store. It stays the
// same during an outage.
func (s *Server) Addr() string { return s.address }

// URL returns the endpoint of the table and the object store.
func (s *Server) URL() string { return "http://" + s.address }

// FaultAddr returns the address that serves /fault and /state during an outage
// too. Addr serves both paths outside of an outage.
func (s *Server) FaultAddr() string { return s.controlListener.Addr().String() }

// Serve answers requests and polls the instances until Close.
func (s *Server) Serve() error {
	for _, in := range s.config.Instances {
		s.work.Go(func() { s.poll(in) })
	}
	s.mu.Lock()
	s.serving = true
	if s.listener != nil {
		s.startData()
	}
	s.mu.Unlock()
	if err := s.control.Serve(s.controlListener); err != http.ErrServerClosed {
		return Error.Wrap(err)
	}
	s.work.Wait()
	return nil
}

// startData serves s.listener. The caller holds s.mu.
func (s *Server) startData() {
	server, listener := &http.Server{Handler: s.dataMux()}, s.listener
	s.data = server
	s.work.Go(func() { _ = server.Serve(listener) })
}

// Close ends all connections and makes Serve return.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	close(s.done)
	s.stopData()
	return Error.Wrap(errs.Combine(s.control.Close(), ignoreClosed(s.controlListener.Close())))
}

// ignoreClosed drops the error of a listener that its server has closed.
func ignoreClosed(err error) error {
	if err == nil || !isClosed(err) {
		return err
	}
	return nil
}

// stopData closes the data listener and its connections. The caller holds s.mu.
func (s *Server) stopData() {
	if s.listener != nil {
		s.listener.Close()
	}
	if s.data != nil {
		s.data.Close()
	}
	s.listener, s.data = nil, nil
}

// setRefused closes or reopens the data listener.
func (s *Server) setRefused(refused bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed || refused == (s.listener == nil):
		return nil
	case refused:
		s.stopData()
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return Error.Wrap(err)
	}
	s.listener = listener
	if s.serving {
		s.startData()
	}
	return nil
}

func (s *Server) controlMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", s.handleFault)
	mux.HandleFunc("GET /state", s.handleState)
	return mux
}

func (s *Server) dataMux() *http.ServeMux {
	mux := s.controlMux()
	mux.HandleFunc("POST /{$}", s.faulty(s.handleTable))
	mux.HandleFunc("PUT /{bucket}/{key...}", s.faulty(s.handlePutObject))
	mux.HandleFunc("GET /{bucket}/{key...}", s.faulty(s.handleGetObject))
	return mux
}

// faulty applies the faults that concern all requests. A delayed request is
// performed even if its client has gone, as one that is on its way would be.
func (s *Server) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		f := s.faults.get()
		if f.Outage == OutageUnavailable {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		s.wait(time.Duration(f.DelayMS) * time.Millisecond)
		next(w, r)
	}
}

// wait returns after d or when the server closes.
func (s *Server) wait(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.done:
	}
}

// poll checks the health of one instance until the server closes.
func (s *Server) poll(in InstanceConfig) {
	client := &http.Client{Timeout: s.config.PollInterval}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(s.config.PollInterval)
	defer ticker.Stop()
	for {
		s.list.observe(time.Now(), in, health(client, in.HealthURL))
		select {
		case <-ticker.C:
		case <-s.done:
			return
		}
	}
}

// health returns the state that a health URL reports: leaving if the answer is
// JSON with "state":"leaving", live for any other answer with status 200, and
// an empty state otherwise.
func health(client *http.Client, url string) string {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return ""
	}
	resp, err := client.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var body struct {
		State string `json:"state"`
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxHealthBytes)).Decode(&body)
	switch {
	case err == nil && body.State == stateLeaving:
		return stateLeaving
	case resp.StatusCode == http.StatusOK:
		return stateLive
	default:
		return ""
	}
}
