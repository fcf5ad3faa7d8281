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

// Names of the HTTP headers between callers and entries.
const (
	TenantHeader       = "Bamboospread-Tenant"
	IdempotentHeader   = "Bamboospread-Idempotent"
	TimeoutHeader      = "Bamboospread-Timeout-Ms"
	OutcomeHeader      = "Bamboospread-Outcome"
	RequestIDHeader    = "Bamboospread-Request-Id"
	KeyHeader          = "Idempotency-Key"
	ReplayedHeader     = "Idempotency-Replayed"
	RetryAfterHeader   = "Retry-After"
	RetryAfterMsHeader = "Retry-After-Ms"
)

// Limits of a request.
const (
	MaxBodyBytes      = 8 << 20
	maxTotalBodyBytes = 256 << 20 // of all requests in flight
	maxKeyBytes       = 256
	maxTimeout        = 60 * time.Second
	defaultTimeout    = 10 * time.Second
	minDefaultTimeout = time.Second
	timeoutObjectives = 10 // default deadline as a multiple of the latency objective
	// failureObjectives is the time after which an attempt without an answer counts as
	// a failure of its upstream, as a multiple of the latency objective.
	failureObjectives  = 3
	startingRetryAfter = 500 * time.Millisecond
)

// call is a caller's request while it is processed by the entry.
type call struct {
	id            string
	service       describer.Service
	tenant        describer.Tenant
	idempotent    bool
	key           string
	method        string
	path          string
	header        http.Header
	body          []byte
	started       time.Time
	deadline      time.Time
	reservedBytes int64 // counted by reservingReader
}

func randomID() string { return rand.Text() }

// keyed reports whether the call needs the claim on its idempotency key to run.
func (c *call) keyed() bool { return c.key != "" && !c.idempotent }

func (c *call) claim() claimer.Options {
	return claimer.Options{
		Tenant: c.tenant.Name, Service: c.service.Name, Key: c.key, RequestID: c.id,
		Digest: claimer.Digest(c.service.Name, c.method, c.path, c.body),
	}
}

// parse validates the request and reads its body. The second result is the refusal of
// an invalid request, or nil.
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
	if c.idempotent, err = isIdempotent(req); err != nil {
		return c, newRefusal(http.StatusBadRequest, err.Error())
	}
	if len(c.key) > maxKeyBytes || !messenger.IsASCII(c.key) {
		return c, newRefusal(http.StatusBadRequest, fmt.Sprintf("%s is longer than %d bytes or not ASCII", KeyHeader, maxKeyBytes))
	}
	timeout, err := requestTimeout(req, c.service)
	if err != nil {
		return c, newRefusal(http.StatusBadRequest, err.Error())
	}
	c.deadline = c.started.Add(timeout)
	// A caller that stops sending in the middle of its body must not keep the request
	// open past its deadline.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(c.deadline) // fails only if the connection does not support deadlines
	c.body, err = io.ReadAll(&reservingReader{receiver: r, call: c, inner: http.MaxBytesReader(w, req.Body, MaxBodyBytes)})
	_ = control.SetReadDeadline(time.Time{})
	req.Body.Close()
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errBodyMemory):
		return c, newRetryableRefusal(http.StatusServiceUnavailable, err.Error(), defaultRetryAfter)
	case errors.As(err, &tooLarge):
		return c, newRefusal(http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is larger than %d bytes", MaxBodyBytes))
	case err != nil:
		return c, newRefusal(http.StatusBadRequest, fmt.Sprintf("read the body: %v", err))
	}
	return c, nil
}

var errBodyMemory = errors.New("the entry's memory limit for request bodies is reached")

// reservingReader reserves memory for a body as it arrives. Without a bound, many large bodies at once
// would make the process run out of memory, which ends all other requests in flight too. Nothing is
// reserved for what a client only announces.
type reservingReader struct {
	receiver *Receiver
	call     *call
	inner    io.Reader
}

// Read implements io.Reader.
func (r *reservingReader) Read(p []byte) (int, error) {
	n, err := r.inner.Read(p)
	r.call.reservedBytes += int64(n)
	if r.receiver.bodyBytes.Add(int64(n)) > maxTotalBodyBytes {
		return 0, errBodyMemory
	}
	return n, err
}

// identify looks up the service and the tenant.
func (r *Receiver) identify(c *call, req *http.Request) *answer {
	fleet := r.config.Fleet()
	name := req.PathValue("service")
	service, ok := fleet.Service(name)
	if !ok && fleet.Version() == 0 {
		return newRetryableRefusal(http.StatusServiceUnavailable, "the entry has no fleet text yet", startingRetryAfter)
	}
	if !ok {
		return newRefusal(http.StatusNotFound, fmt.Sprintf("unknown service %q", name))
	}
	c.service = service
	tenant := req.Header.Get(TenantHeader)
	if tenant == "" {
		tenant = service.Tenant
	}
	if c.tenant, ok = fleet.Tenant(tenant); !ok {
		return newRefusal(http.StatusForbidden, fmt.Sprintf("unknown tenant %q", tenant))
	}
	return nil
}

// upstreamPath returns the path below the service, escaped as the caller sent it, and
// the query.
func upstreamPath(req *http.Request) string {
	const prefixParts = 4 // the empty string, v1, services and the service name
	escaped := "/"
	if parts := strings.SplitN(req.URL.EscapedPath(), "/", prefixParts+1); len(parts) > prefixParts {
		escaped += parts[prefixParts]
	}
	if req.URL.RawQuery != "" {
		escaped += "?" + escapeBytes(req.URL.RawQuery)
	}
	return escaped
}

// escapeBytes percent-encodes bytes above ASCII, which some callers send unescaped in a
// query and which JSON would not preserve.
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

// isIdempotent reports whether the request is idempotent by its header, else by its
// method.
func isIdempotent(req *http.Request) (bool, error) {
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

// requestTimeout returns the timeout given by the caller, else the default of the
// service.
func requestTimeout(req *http.Request, s describer.Service) (time.Duration, error) {
	v := req.Header.Get(TimeoutHeader)
	if v == "" {
		if s.LatencyObjective <= 0 {
			return defaultTimeout, nil
		}
		return min(max(timeoutObjectives*s.LatencyObjective, minDefaultTimeout), maxTimeout), nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms <= 0 {
		return 0, fmt.Errorf("%s is %q: want a positive integer of milliseconds", TimeoutHeader, v)
	}
	return min(messenger.FromMillis(min(ms, maxTimeout.Milliseconds())), maxTimeout), nil
}
