// Package platformd implements a test stand-in for the platform: an in-memory HTTP
// server with the subsets of the DynamoDB JSON protocol and of S3 that papayarail
// uses, a delayed instance list and fault injection.
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

// Class groups the errors of this package.
var Class = errs.Class("platformd")

const (
	// DefaultInstanceLag is the time from a health check until the instance list shows
	// its result.
	DefaultInstanceLag = 2 * time.Second
	// DefaultPollInterval is the interval between health checks of an instance.
	DefaultPollInterval = time.Second
	// DefaultPageSize is the maximum number of items in one page of a query.
	DefaultPageSize = 1000

	maxBodyBytes   = 16 << 20 // of a request
	maxHealthBytes = 1 << 16  // read of a health check response
)

// Config configures a Server.
type Config struct {
	Address      string           // host:port of the table and the object store; empty means 127.0.0.1:0
	FaultAddress string           // host:port of /fault and /state; empty means 127.0.0.1:0
	Instances    []InstanceConfig // instances whose health is polled for the instance list
	InstanceLag  time.Duration    // delay of the instance list; 0 means DefaultInstanceLag
	PollInterval time.Duration    // between health checks; 0 means DefaultPollInterval
	PageSize     int              // items per page of a query; 0 means DefaultPageSize
}

// InstanceConfig describes an instance of the instance list.
type InstanceConfig struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	PeerAddress   string `json:"peer_address"`
	HealthURL     string `json:"health_url"`
}

// Server is the platform stand-in. All methods are safe for concurrent use.
type Server struct {
	config    Config
	tables    *tables
	objects   *objects
	faults    *faults
	instances *instanceList
	counts    *counts

	faultServer   *http.Server
	faultListener net.Listener
	done          chan struct{} // closed by Close
	wg            sync.WaitGroup

	mu           sync.Mutex
	address      string
	dataServer   *http.Server // nil before Serve and during a refused outage
	dataListener net.Listener // nil during a refused outage
	serving      bool
	closed       bool
}

// New opens the listeners. Requests are answered once Serve is called.
func New(c Config) (*Server, error) {
	c.Address = orDefault(c.Address, "127.0.0.1:0")
	c.FaultAddress = orDefault(c.FaultAddress, "127.0.0.1:0")
	c.InstanceLag = orDefault(c.InstanceLag, DefaultInstanceLag)
	c.PollInterval = orDefault(c.PollInterval, DefaultPollInterval)
	c.PageSize = orDefault(c.PageSize, DefaultPageSize)
	listener, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	faultListener, err := net.Listen("tcp", c.FaultAddress)
	if err != nil {
		listener.Close()
		return nil, Class.Wrap(err)
	}
	s := &Server{
		config:        c,
		tables:        newTables(),
		objects:       newObjects(),
		faults:        &faults{},
		instances:     newInstanceList(c.InstanceLag),
		counts:        newCounts(),
		faultServer:   &http.Server{},
		faultListener: faultListener,
		done:          make(chan struct{}),
		address:       listener.Addr().String(),
		dataListener:  listener,
	}
	s.faultServer.Handler = s.faultMux()
	return s, nil
}

func orDefault[T comparable](value, defaultValue T) T {
	var zero T
	if value == zero {
		return defaultValue
	}
	return value
}

// Addr returns the address (host:port) of the table and the object store. It stays
// the same through an outage.
func (s *Server) Addr() string { return s.address }

// URL returns the endpoint URL of the table and the object store.
func (s *Server) URL() string { return "http://" + s.address }

// FaultAddr returns the address (host:port) that serves /fault and /state even during
// an outage. Addr serves both paths too, unless it refuses connections.
func (s *Server) FaultAddr() string { return s.faultListener.Addr().String() }

// Serve answers requests and polls the instances until Close is called. It returns
// an error if the fault listener fails.
func (s *Server) Serve() error {
	for _, instance := range s.config.Instances {
		s.wg.Go(func() { s.poll(instance) })
	}
	s.mu.Lock()
	s.serving = true
	if s.dataListener != nil {
		s.startDataServer()
	}
	s.mu.Unlock()
	if err := s.faultServer.Serve(s.faultListener); err != http.ErrServerClosed {
		return Class.Wrap(err)
	}
	s.wg.Wait()
	return nil
}

// startDataServer serves s.dataListener. s.mu must be held.
func (s *Server) startDataServer() {
	server, listener := &http.Server{Handler: s.dataMux()}, s.dataListener
	s.dataServer = server
	s.wg.Go(func() { _ = server.Serve(listener) })
}

// Close closes the listeners and all connections and makes Serve return.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	close(s.done)
	s.stopDataServer()
	return Class.Wrap(errs.Combine(s.faultServer.Close(), ignoreClosed(s.faultListener.Close())))
}

// ignoreClosed drops the error of closing a listener that its server has closed.
func ignoreClosed(err error) error {
	if err == nil || !isClosed(err) {
		return err
	}
	return nil
}

// stopDataServer closes the data listener and its connections. s.mu must be held.
func (s *Server) stopDataServer() {
	if s.dataListener != nil {
		s.dataListener.Close()
	}
	if s.dataServer != nil {
		s.dataServer.Close()
	}
	s.dataListener, s.dataServer = nil, nil
}

// setRefused closes or reopens the data listener. A reopened listener has the same
// address.
func (s *Server) setRefused(refused bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed || refused == (s.dataListener == nil):
		return nil
	case refused:
		s.stopDataServer()
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return Class.Wrap(err)
	}
	s.dataListener = listener
	if s.serving {
		s.startDataServer()
	}
	return nil
}

func (s *Server) faultMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", s.handleFault)
	mux.HandleFunc("GET /state", s.handleState)
	return mux
}

func (s *Server) dataMux() *http.ServeMux {
	mux := s.faultMux()
	mux.HandleFunc("POST /{$}", s.withFaults(s.handleTable))
	mux.HandleFunc("PUT /{bucket}/{key...}", s.withFaults(s.handlePutObject))
	mux.HandleFunc("GET /{bucket}/{key...}", s.withFaults(s.handleGetObject))
	return mux
}

// withFaults applies the faults that affect all requests. A delayed request is
// performed even if its client has disconnected, like a request that is still on the
// network.
func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		f := s.faults.get()
		if f.Outage == OutageUnavailable {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		s.sleep(time.Duration(f.DelayMS) * time.Millisecond)
		next(w, r)
	}
}

// sleep returns after d or when the server closes.
func (s *Server) sleep(d time.Duration) {
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
func (s *Server) poll(instance InstanceConfig) {
	client := &http.Client{Timeout: s.config.PollInterval}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(s.config.PollInterval)
	defer ticker.Stop()
	for {
		s.instances.observe(time.Now(), instance, checkHealth(client, instance.HealthURL))
		select {
		case <-ticker.C:
		case <-s.done:
			return
		}
	}
}

// checkHealth returns the state that a health URL reports: leaving if the response is
// JSON with "state":"leaving", live for any other response with status 200, and an
// empty state otherwise.
func checkHealth(client *http.Client, url string) string {
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
