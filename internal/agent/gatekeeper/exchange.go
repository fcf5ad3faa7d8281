package gatekeeper

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"bamboospread/internal/wire/messenger"
)

// RequestIDHeader carries the id of a request to the upstream, which must echo it
// in the response.
const RequestIDHeader = "X-Request-Id"

var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// exchange sends the request once and reads the whole response. checkSend returns
// a reason not to send the request, or an empty string. A request is lost if the
// upstream may run it beyond the exchange.
func (u *upstream) exchange(c Config, r messenger.RunRequest, deadline time.Time, checkSend func() string) (reply messenger.RunReply, lost bool) {
	reply = messenger.RunReply{RequestID: r.RequestID, Attempt: r.Attempt, Outcome: messenger.OutcomeNotRun}
	var message bytes.Buffer
	req, err := newRequest(r, u.address)
	if err == nil {
		err = req.Write(&message)
	}
	if err != nil {
		reply.Reason = err.Error()
		return reply, false
	}
	conn, err := u.connect(c, deadline)
	if err != nil {
		reply.Reason = err.Error()
		return reply, false
	}
	// The agent may have been paused since the request was admitted, and the
	// upstream may have left meanwhile. So the conditions are checked again
	// immediately before the single write that sends the request.
	if reply.Reason = checkSend(); reply.Reason != "" {
		u.pool.put(conn, c.Now())
		return reply, false
	}
	// From here on the upstream may have received a part of the request.
	reply.Outcome = messenger.OutcomeUnknown
	resp, err := send(conn, message.Bytes(), req)
	if err != nil {
		u.pool.drop(conn)
		reply.Reason = err.Error()
		return reply, connectionLost(err)
	}
	body, err := readBody(resp, r)
	if err != nil {
		u.pool.drop(conn)
		reply.Reason = err.Error()
		return reply, connectionLost(err)
	}
	if resp.Close || req.Close || conn.reader.Buffered() > 0 {
		u.pool.drop(conn)
	} else {
		u.pool.put(conn, c.Now())
	}
	removeHopHeaders(resp.Header)
	reply.Outcome, reply.Status, reply.Header = messenger.OutcomeRun, resp.StatusCode, messenger.PackHeader(resp.Header)
	reply.Body, reply.BodyLength = body, len(body)
	return reply, false
}

// connectionLost reports whether an exchange ended because its connection was reset, or is
// broken in another way: that shows nothing about the upstream, which may run the request. The end of
// the stream was sent by the upstream's side itself.
func connectionLost(err error) bool {
	var broken *net.OpError
	return errors.As(err, &broken) && !broken.Timeout()
}

// connect returns a connection that times out c.MaxOverrun after the deadline of
// the request.
func (u *upstream) connect(c Config, deadline time.Time) (*upstreamConn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), minTime(deadline, time.Now().Add(c.DialTimeout)))
	defer cancel()
	conn, err := u.pool.get(ctx, c.Now())
	if err != nil {
		return nil, fmt.Errorf("connect to upstream %s: %w", u.id, err)
	}
	if err := conn.SetDeadline(deadline.Add(c.MaxOverrun)); err != nil {
		u.pool.drop(conn)
		return nil, fmt.Errorf("set deadline of connection to upstream %s: %w", u.id, err)
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

// send writes the request and reads the response head, skipping informational
// (1xx) responses.
func send(conn *upstreamConn, message []byte, req *http.Request) (*http.Response, error) {
	if _, err := conn.Write(message); err != nil {
		return nil, fmt.Errorf("send to the upstream: %w", err)
	}
	for {
		resp, err := http.ReadResponse(conn.reader, req)
		if err != nil {
			return nil, fmt.Errorf("read the upstream's response: %w", err)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the upstream switched protocols")
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// readBody reads the whole body and checks that the response belongs to the
// request. A response to another request carries that request's id; a truncated
// body ends before its declared length. Without these checks the caller would get
// either as a valid response. A body without a declared length is refused too,
// because its truncation could not be detected.
func readBody(resp *http.Response, r messenger.RunRequest) ([]byte, error) {
	defer resp.Body.Close()
	if id := resp.Header.Get(RequestIDHeader); id != r.RequestID {
		return nil, fmt.Errorf("the upstream's response is for request %q", id)
	}
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength < 0 && !chunked && r.Method != http.MethodHead {
		return nil, errors.New("the upstream's response has no declared length")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes+1))
	if err != nil {
		return nil, fmt.Errorf("the upstream's response is truncated: %w", err)
	}
	if len(body) > MaxResponseBytes {
		return nil, fmt.Errorf("the upstream's response exceeds %d bytes", MaxResponseBytes)
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
