package receiver

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/request/claimer"
	"bamboospread/internal/wire/messenger"
)

// Headers between callers and entries.
const (
	TenantHeader     = "Bamboospread-Tenant"
	IdempotentHeader = "Bamboospread-Idempotent"
	TimeoutHeader    = "Bamboospread-Timeout-Ms"
	OutcomeHeader    = "Bamboospread-Outcome"
	RequestIDHeader  = "Bamboospread-Request-Id"
	KeyHeader        = "Idempotency-Key"
	ReplayedHeader   = "Idempotency-Replayed"
	RetryAfterHeader = "Retry-After"
	RetryMsHeader    = "Retry-After-Ms"
)

// Limits of a request.
const (
	MaxBodyBytes      = 8 << 20
	maxBodiesBytes    = 256 << 20 // of all requests in flight
	maxKeyBytes       = 256
	maxTimeout        = 60 * time.Second
	defaultTimeout    = 10 * time.Second
	minDefaultTimeout = time.Second
	objectivesAllowed = 10 // default deadline as a multiple of the latency objective
	// objectivesUntilFailed is the time, as a multiple of the latency objective,
	// after which an attempt without an answer counts against its upstream.
	objectivesUntilFailed = 3
	startingRetry         = 500 * time.Millisecond
)

// call is one request of a caller on its way through the entry.
type call struct {
	id         string
	service    describer.Service
	tenant     describer.Tenant
	idempotent bool
	key        string
	method     string
	path       string
	header     http.Header
	body       []byte
	started    time.Time
	deadline   time.Time
	heldBytes  int64 // counted by holdBody
}

func randomID() string { return rand.Text() }

// keyed tells whether the call must hold the claim on its key to run.
func (c *call) keyed() bool { return c.key != "" && !c.idempotent }

func (c *call) claim() claimer.Options {
	return claimer.Options{
		Tenant: c.tenant.Name, Service: c.service.Name, Key: c.key, RequestID: c.id,
		Digest: claimer.Digest(c.service.Name, c.method, c.path, c.body),
	}
}

// parse reads the request; the second result is the refusal of a wrong one.
func (r *Receiver) parse(w http.ResponseWriter, req *http.Request) (*call, *answer) {
	c := &call{
		id: r.config.NewID(), method: req.Method,
		header: req.Header, started: r.config.Now(), key: req.Header.Get(KeyHeader),
		path: upstreamPath(req),
	}
	if refusal := r.identify(c, req); refusal != nil {
		return c, refusal
	}
	var err error
	if c.idempotent, err = idempotent(req); err != nil {
		return c, refuse(http.StatusBadRequest, err.Error())
	}
	if len(c.key) > maxKeyBytes || !messenger.IsASCII(c.key) {
		return c, refuse(http.StatusBadRequest, fmt.Sprintf("%s is longer than %d bytes or not ASCII", KeyHeader, maxKeyBytes))
	}
	timeout, err := timeoutOf(req, c.service)
	if err != nil {
		return c, refuse(http.StatusBadRequest, err.Error())
	}
	c.deadline = c.started.Add(timeout)
	if !r.holdBody(c, req.ContentLength) {
		return c, refuseFor(http.StatusServiceUnavailable, "the entry holds as many bodies as it can", defaultRetryAfter)
	}
	// A caller that stops in the middle of its body must not hold the request
	// past its deadline.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(c.deadline) // a connection without deadlines has none to set
	c.body, err = io.ReadAll(http.MaxBytesReader(w, req.Body, MaxBodyBytes))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return c, refuse(http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is above %d bytes", MaxBodyBytes))
	case err != nil:
		return c, refuse(http.StatusBadRequest, fmt.Sprintf("read the body: %v", err))
	}
	return c, nil
}

// holdBody counts the memory of a body that is to be read. Without a bound, many
// large bodies at once end the whole process for want of memory, and with it
// every other request in flight.
func (r *Receiver) holdBody(c *call, length int64) bool {
	if length < 0 || length > MaxBodyBytes {
		length = MaxBodyBytes // the length is not told, or will be refused on reading
	}
	if r.bodyBytes.Add(length) > maxBodiesBytes {
		r.bodyBytes.Add(-length)
		return false
	}
	c.heldBytes = length
	return true
}

// identify finds the service and the tenant.
func (r *Receiver) identify(c *call, req *http.Request) *answer {
	fleet := r.config.Fleet()
	name := req.PathValue("service")
	service, ok := fleet.Service(name)
	if !ok && fleet.Version() == 0 {
		return refuseFor(http.StatusServiceUnavailable, "the entry has no fleet text yet", startingRetry)
	}
	if !ok {
		return refuse(http.StatusNotFound, fmt.Sprintf("no service %q", name))
	}
	c.service = service
	tenant := req.Header.Get(TenantHeader)
	if tenant == "" {
		tenant = service.Tenant
	}
	if c.tenant, ok = fleet.Tenant(tenant); !ok {
		return refuse(http.StatusForbidden, fmt.Sprintf("no tenant %q", tenant))
	}
	return nil
}

// upstreamPath returns the path below the service as the caller escaped it.
func upstreamPath(req *http.Request) string {
	const before = 4 // parts: the empty one, v1, services and the service
	escaped := "/"
	if parts := strings.SplitN(req.URL.EscapedPath(), "/", before+1); len(parts) > before {
		escaped += parts[before]
	}
	if req.URL.RawQuery != "" {
		escaped += "?" + escapeBytes(req.URL.RawQuery)
	}
	return escaped
}

// escapeBytes escapes bytes above ASCII, which some callers send in a query as
// they are and which JSON would not carry unchanged.
func escapeBytes(query string) string {
	if messenger.IsASCII(query) {
		return query
	}
	var b strings.Builder
	for i := range len(query) {
		if query[i] < utf8.RuneSelf {
			b.WriteByte(query[i])
			continue
		}
		fmt.Fprintf(&b, "%%%02X", query[i])
	}
	return b.String()
}

func idempotent(req *http.Request) (bool, error) {
	switch v := req.Header.Get(IdempotentHeader); v {
	case "true", "false":
		return v == "true", nil
	case "":
	default:
		return false, fmt.Errorf("%s is %q: want true or false", IdempotentHeader, v)
	}
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true, nil
	}
	return false, nil
}

func timeoutOf(req *http.Request, s describer.Service) (time.Duration, error) {
	v := req.Header.Get(TimeoutHeader)
	if v == "" {
		if s.LatencyObjective <= 0 {
			return defaultTimeout, nil
		}
		return min(max(objectivesAllowed*s.LatencyObjective, minDefaultTimeout), maxTimeout), nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms <= 0 {
		return 0, fmt.Errorf("%s is %q: want a whole number of ms above 0", TimeoutHeader, v)
	}
	return min(messenger.FromMillis(min(ms, maxTimeout.Milliseconds())), maxTimeout), nil
}
