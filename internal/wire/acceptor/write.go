package acceptor

import (
	"errors"
	"sync"
)

const (
	// writePart is sent within the time limit of a write.
	writePart = 64 << 10
	// largeAnswer is the length from which an answer is counted: smaller ones fit into the share of the
	// connections.
	largeAnswer = 16 << 10
)

// errAnswerCut ends a connection whose client has read too little of its answer.
var errAnswerCut = errors.New("the client does not read its answer")

// answers counts the bytes of the large answers that are being sent.
type answers struct {
	limit   int64
	mu      sync.Mutex
	used    int64
	writing map[*conn]int64 // bytes of each
	order   []*conn         // longest first
}

// Write sends p. A client must read each part of it in time, and no more than the limit of large
// answers wait for their clients.
func (c *conn) Write(p []byte) (int, error) {
	l := c.acceptor
	if len(p) >= largeAnswer {
		l.beginAnswer(c, int64(len(p)))
		defer l.endAnswer(c)
	}
	before := c.beginWrite()
	defer c.setPhase(before)
	written := 0
	for {
		part := p[written:min(len(p), written+writePart)]
		if err := c.SetWriteDeadline(l.config.Now().Add(l.config.WriteTime)); err != nil {
			return written, errAnswerCut
		}
		n, err := c.Conn.Write(part)
		written += n
		if err != nil {
			if isTimeout(err) {
				l.closed.record(reasonAnswerTime, c.RemoteAddr().String())
			}
			return written, err
		}
		if written >= len(p) {
			return written, nil
		}
	}
}

func (c *conn) beginWrite() (before phase) {
	now := c.acceptor.config.Now()
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	before = c.phase
	c.phase, c.since = phaseWriting, now
	return before
}

// beginAnswer counts a large answer. Beyond the limit it closes the connection whose answer has been
// sent for longest. An answer that is alone is never cut off.
func (l *Acceptor) beginAnswer(c *conn, bytes int64) {
	a := &l.answers
	a.mu.Lock()
	var cut []*conn
	for a.used+bytes > a.limit && len(a.order) > 0 {
		victim := a.order[0]
		a.removeLocked(victim)
		cut = append(cut, victim)
	}
	a.used += bytes
	a.writing[c] = bytes
	a.order = append(a.order, c)
	a.mu.Unlock()
	for _, victim := range cut {
		l.closed.record(reasonAnswerMemory, victim.RemoteAddr().String())
		victim.Close()
	}
}

func (l *Acceptor) endAnswer(c *conn) {
	l.answers.mu.Lock()
	defer l.answers.mu.Unlock()
	l.answers.removeLocked(c)
}

func (a *answers) removeLocked(c *conn) {
	bytes, ok := a.writing[c]
	if !ok {
		return // cut off
	}
	delete(a.writing, c)
	a.used -= bytes
	for i, other := range a.order {
		if other == c {
			a.order = append(a.order[:i], a.order[i+1:]...)
			return
		}
	}
}
