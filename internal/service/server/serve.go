package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

const (
	readinessGrace = 500 * time.Millisecond // from not ready to the start of the drain
)

// serveHTTP serves callers and operators until ctx ends.
func (s *Server) serveHTTP(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle("/v1/services/", s.receiver)
	mux.Handle("/v1/", s.operator)
	mux.HandleFunc("GET /metrics", s.writeMetrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", s.writeReady)
	server := s.acceptor.NewServer(mux)
	served := make(chan error, 1)
	s.ready.Store(true)
	go func() { served <- server.Serve(s.http) }()
	select {
	case err := <-served:
		return fmt.Errorf("serve HTTP: %w", err)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.config.StopTimeout)
	defer cancel()
	err := server.Shutdown(stop)
	if served := <-served; !errors.Is(served, http.ErrServerClosed) {
		err = errors.Join(err, served)
	}
	return err
}

// drainRequests first reports not ready, so that the platform's balancer sends new
// callers elsewhere, and then waits for the requests in flight.
func (s *Server) drainRequests(ctx context.Context) error {
	s.ready.Store(false)
	select {
	case <-ctx.Done():
	case <-time.After(readinessGrace):
	}
	return s.receiver.Drain(ctx)
}

func (s *Server) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	s.metrics.GetOrCreateGauge("bamboospread_fleet_version", func() float64 { return float64(s.follower.Version()) })
	s.metrics.WritePrometheus(w)
}

// readiness is the body of /readyz.
type readiness struct {
	Ready        bool                    `json:"ready"`
	ID           string                  `json:"id"`
	FleetVersion int64                   `json:"fleet-version"`
	Peers        []messenger.PeerAddress `json:"peers"`
	Owners       []messenger.CellOwner   `json:"owners"`
}

func (s *Server) writeReady(w http.ResponseWriter, _ *http.Request) {
	// An entry that starts while the store is unreachable rejects all requests until it
	// gets the fleet record from a peer; until then callers should use other entries.
	body := readiness{
		Ready: s.ready.Load() && s.follower.Known(), ID: s.config.ID, FleetVersion: s.follower.Version(),
		Peers: s.enroller.Peers(), Owners: s.enroller.Owners(),
	}
	w.Header().Set("Content-Type", "application/json")
	if !body.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	// The client may have disconnected, so a write error is ignored.
	_ = json.NewEncoder(w).Encode(body)
}

// serveRPC serves agents and entries until ctx ends.
func (s *Server) serveRPC(ctx context.Context) error {
	return connector.Serve(ctx, s.rpc, s.handleRPC, nil)
}

// handleRPC dispatches a call by its method.
func (s *Server) handleRPC(ctx context.Context, c *connector.Conn, method string, params json.RawMessage) (any, error) {
	switch {
	case method == messenger.MethodAnnounce, method == messenger.MethodHeartbeat:
		return s.tracker.Handle(ctx, c, method, params)
	case method == messenger.MethodPeers:
		return s.enroller.Handle(ctx, c, method, params)
	case strings.HasPrefix(method, "work/"):
		return s.jobs.scheduler.Handle(ctx, c, method, params)
	case method == messenger.MethodFleet:
		return s.answerFleet(params)
	case strings.HasPrefix(method, "cell/"):
		if !s.config.MayOwn {
			return nil, connector.Errorf(messenger.CodeNotOwner, "entry %s owns no cell", s.config.ID)
		}
		return s.controller.Handle(ctx, method, params)
	default:
		return nil, connector.Errorf(messenger.CodeBadRequest, "unknown method %s", method)
	}
}

func (s *Server) answerFleet(params json.RawMessage) (any, error) {
	r, err := connector.Decode[messenger.FleetRequest](params)
	if err != nil {
		return nil, err
	}
	record := s.follower.PeerReply()
	if record.Version <= r.Above {
		return messenger.FleetReply{}, nil
	}
	return record, nil
}
