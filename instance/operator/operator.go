// Package operator serves the operators' address of an instance: metrics,
// health, the state dump and the planned stop.
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

// Instance is what operators can see and do.
type Instance interface {
	Dump() any
	Ready() (bool, string)
	Drain()
}

// Server is the HTTP server of the operators' address.
type Server struct {
	instance Instance
	allowed  []netip.Prefix
	log      *logrus.Entry
}

// New returns a server that answers only the allowed networks.
func New(i Instance, allowed []netip.Prefix, log *logrus.Entry) *Server {
	return &Server{instance: i, allowed: allowed, log: log}
}

// Serve answers until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{
		Handler:           s.guard(s.routes()),
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

// guard refuses addresses outside the allowed networks.
func (s *Server) guard(next http.Handler) http.Handler {
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
