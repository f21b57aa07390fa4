// Package operator is the HTTP server on an instance's operator address. It serves the
// metrics, the health check and the state dump, and starts the planned stop, in which
// the instance accepts no new callers and lets open transactions end.
package operator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/papayarail/papayarail/instance/peer"
)

const (
	headerTimeout  = 5 * time.Second
	requestTimeout = 30 * time.Second
	maxHeaderBytes = 64 << 10
)

// Instance is the part of an instance that operators can observe and control. Its
// methods are called concurrently.
type Instance interface {
	Dump() any             // state, which is encoded as JSON
	Ready() (bool, string) // whether callers can be served, with a reason
	Drain()                // starts the planned stop and returns at once
}

// Server is the HTTP server on the operator address.
type Server struct {
	instance Instance
	allowed  []netip.Prefix
	log      *logrus.Entry
}

// New returns a server that answers only clients in the allowed networks, or on
// loopback addresses if there are none.
func New(i Instance, allowed []netip.Prefix, log *logrus.Entry) *Server {
	return &Server{instance: i, allowed: allowed, log: log}
}

// Serve serves l until ctx ends. The error is nil after the end of ctx.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{
		Handler:           s.restrictAddresses(s.routes()),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      requestTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	err := server.Serve(l)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("GET /dump", s.dump)
	mux.HandleFunc("POST /drain", s.drain)
	return mux
}

// restrictAddresses refuses requests from addresses outside the allowed networks.
func (s *Server) restrictAddresses(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		addr, err := net.ResolveTCPAddr("tcp", r.RemoteAddr)
		if err != nil || !peer.AddressAllowed(s.allowed, addr) {
			s.log.WithField("remote", r.RemoteAddr).Warn("refused an operator outside the allowed networks")
			http.Error(w, "address not allowed", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	ready, reason := s.instance.Ready()
	if !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte(reason + "\n"))
}

func (s *Server) dump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(s.instance.Dump()); err != nil {
		s.log.WithError(err).Warn("could not write the state dump")
	}
}

func (s *Server) drain(w http.ResponseWriter, _ *http.Request) {
	s.log.Info("an operator asked for the planned stop")
	s.instance.Drain()
	w.WriteHeader(http.StatusAccepted)
}
