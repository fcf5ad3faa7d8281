// Package server holds what the stand-ins share: serving HTTP until a context
// ends, and JSON bodies.
package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// stopLimit bounds the wait for requests in flight when a stand-in stops.
const stopLimit = 10 * time.Second

// Serve answers on l until ctx ends, then finishes what is in flight.
func Serve(ctx context.Context, l net.Listener, handler http.Handler) error {
	s := &http.Server{Handler: handler, ReadHeaderTimeout: stopLimit}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	select {
	case err := <-ended:
		return fmt.Errorf("serve on %s: %w", l.Addr(), err)
	case <-ctx.Done():
	}
	late, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
	defer cancel()
	err := s.Shutdown(late)
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

// WriteJSON answers with v.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may be gone
}
