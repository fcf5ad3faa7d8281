package responder

import (
	"net"
	"net/http"
	"sync"

	"bamboospread/internal/standin/server"
)

// Modes are the faults that the upstream injects into its answers.
type Modes struct {
	Share          float64 `json:"share"`            // of requests that the modes affect; 0: all
	Slow           float64 `json:"slow"`             // factor on the service time; 0: 1
	LateMillis     int64   `json:"late-ms"`          // added to the service time
	Crossed        bool    `json:"crossed"`          // answer with the answer of another request
	Truncated      bool    `json:"truncated"`        // end the answer before its Content-Length
	Status         int     `json:"status"`           // answer with this status after running; 0: 200
	CutAfterEffect bool    `json:"cut-after-effect"` // run, then close the connection without an answer
	NoRecord       bool    `json:"no-record"`        // do not record requests, for measurements
}

// SetModes replaces the modes in force.
func (u *Upstream) SetModes(m Modes) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.modes = m
}

func (u *Upstream) handleSetModes(w http.ResponseWriter, r *http.Request) {
	var m Modes
	if server.ReadJSON(w, r, &m) {
		u.SetModes(m)
		server.WriteJSON(w, http.StatusOK, m)
	}
}

// countingListener counts the open connections and closes new ones above the limit.
type countingListener struct {
	net.Listener
	u *Upstream
}

// Accept returns the next connection that is within the limit.
func (l *countingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.u.countOpened() {
			return &countedConn{Conn: c, u: l.u}, nil
		}
		c.Close()
	}
}

func (u *Upstream) countOpened() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.connections >= u.config.Connections {
		u.counts.RefusedConnections++
		return false
	}
	u.connections++
	u.counts.MostConnections = max(u.counts.MostConnections, u.connections)
	return true
}

type countedConn struct {
	net.Conn
	u    *Upstream
	once sync.Once
}

// Close closes the connection. Only the first call reduces the count of connections.
func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.u.mu.Lock()
		defer c.u.mu.Unlock()
		c.u.connections--
	})
	return c.Conn.Close()
}
