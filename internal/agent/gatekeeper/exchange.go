package gatekeeper

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"bamboospread/internal/wire/messenger"
)

// RequestIDHeader carries the id of a request to the upstream, which must send
// it back with the answer.
const RequestIDHeader = "X-Request-Id"

var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// exchange sends the request once and reads the whole answer. MayStart returns a
// reason not to send after all.
func (t *gate) exchange(c Config, r messenger.RunRequest, deadline time.Time, mayStart func() string) messenger.RunReply {
	reply := messenger.RunReply{RequestID: r.RequestID, Attempt: r.Attempt, Outcome: messenger.OutcomeNotRun}
	var message bytes.Buffer
	req, err := newRequest(r, t.address)
	if err == nil {
		err = req.Write(&message)
	}
	if err != nil {
		reply.Reason = err.Error()
		return reply
	}
	conn, err := t.connect(c, deadline)
	if err != nil {
		reply.Reason = err.Error()
		return reply
	}
	// The agent may have been paused since the gate let the request in, and the
	// upstream may have left meanwhile: what was true then is asked again, last
	// thing before the one write that sends the request.
	if reply.Reason = mayStart(); reply.Reason != "" {
		t.pool.put(conn, c.Now())
		return reply
	}
	// From here on something may have reached the upstream.
	reply.Outcome = messenger.OutcomeUnknown
	resp, err := send(conn, message.Bytes(), req)
	if err != nil {
		t.pool.drop(conn)
		reply.Reason = err.Error()
		return reply
	}
	body, err := readAnswer(resp, r)
	if err != nil {
		t.pool.drop(conn)
		reply.Reason = err.Error()
		return reply
	}
	if resp.Close || req.Close || conn.reader.Buffered() > 0 {
		t.pool.drop(conn)
	} else {
		t.pool.put(conn, c.Now())
	}
	removeHopHeaders(resp.Header)
	reply.Outcome, reply.Status, reply.Header = messenger.OutcomeRun, resp.StatusCode, messenger.PackHeader(resp.Header)
	reply.Body, reply.BodyLength = body, len(body)
	return reply
}

// connect returns a connection that ends at the request's last moment.
func (t *gate) connect(c Config, deadline time.Time) (*upstreamConn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), minTime(deadline, time.Now().Add(c.DialTimeout)))
	defer cancel()
	conn, err := t.pool.get(ctx, c.Now())
	if err != nil {
		return nil, fmt.Errorf("connect to the upstream: %w", err)
	}
	if err := conn.SetDeadline(deadline.Add(c.LateLimit)); err != nil {
		t.pool.drop(conn)
		return nil, fmt.Errorf("set deadline: %w", err)
	}
	return conn, nil
}

func newRequest(r messenger.RunRequest, address string) (*http.Request, error) {
	target, err := url.ParseRequestURI(r.Path)
	if err != nil {
		return nil, fmt.Errorf("parse path: %w", err)
	}
	target.Scheme, target.Host = "http", address
	req := &http.Request{
		Method: r.Method, URL: target, Host: address, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: messenger.UnpackHeader(r.Header).Clone(), ContentLength: int64(len(r.Body)),
	}
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	removeHopHeaders(req.Header)
	req.Header.Set(RequestIDHeader, r.RequestID)
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	return req, nil
}

// send writes the request and reads the head of its answer, skipping
// informational ones.
func send(conn *upstreamConn, message []byte, req *http.Request) (*http.Response, error) {
	if _, err := conn.Write(message); err != nil {
		return nil, fmt.Errorf("send to the upstream: %w", err)
	}
	for {
		resp, err := http.ReadResponse(conn.reader, req)
		if err != nil {
			return nil, fmt.Errorf("read the upstream's answer: %w", err)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the upstream switched protocols")
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// readAnswer reads the whole body and checks that the answer belongs to the
// request. An answer crossed with another one carries the other's id; a body cut
// short ends before its declared length. Both would otherwise reach the caller
// as a good answer. A body without a declared length can't be told from a cut
// one and is refused too.
func readAnswer(resp *http.Response, r messenger.RunRequest) ([]byte, error) {
	defer resp.Body.Close()
	if id := resp.Header.Get(RequestIDHeader); id != r.RequestID {
		return nil, fmt.Errorf("the upstream's answer is for request %q", id)
	}
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength < 0 && !chunked && r.Method != http.MethodHead {
		return nil, errors.New("the upstream's answer has no declared length")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err != nil {
		return nil, fmt.Errorf("the upstream's answer is cut short: %w", err)
	}
	if len(body) > MaxAnswerBytes {
		return nil, fmt.Errorf("the upstream's answer is above %d bytes", MaxAnswerBytes)
	}
	return body, nil
}

func removeHopHeaders(h http.Header) {
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
