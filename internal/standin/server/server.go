// Package server provides the HTTP server and the JSON helpers that the stand-ins
// share.
package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"bamboospread/internal/wire/acceptor"
)

// stopTimeout bounds the wait for requests in flight when a stand-in stops.
const stopTimeout = 10 * time.Second

// Serve serves on l until ctx ends, then waits for the requests in flight.
func Serve(ctx context.Context, l net.Listener, handler http.Handler) error {
	return ServeUntilCrash(ctx, l, handler, nil)
}

// ErrCrashed is returned by ServeUntilCrash after a simulated crash.
var ErrCrashed = errors.New("simulated crash")

// ServeUntilCrash is Serve with a simulated crash of the process: when crash delivers, it closes
// the listener and all connections at once and returns ErrCrashed.
func ServeUntilCrash(ctx context.Context, l net.Listener, handler http.Handler, crash <-chan struct{}) error {
	s := acceptor.New(acceptor.Config{HeadTime: stopTimeout}).NewServer(handler)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	select {
	case err := <-ended:
		return fmt.Errorf("serve on %s: %w", l.Addr(), err)
	case <-crash:
		_ = s.Close()
		<-ended
		return ErrCrashed
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	err := s.Shutdown(stopCtx)
	if served := <-ended; !errors.Is(served, http.ErrServerClosed) {
		err = errors.Join(err, served)
	}
	return err
}

// ReadJSON decodes the body of r into v. On failure it answers with status 400
// and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, fmt.Sprintf("decode body: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON answers with the status and v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have disconnected
}
