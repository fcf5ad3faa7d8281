// Package messenger defines the messages between the processes of bamboospread:
// JSON-RPC 2.0 over TCP with varint-framed JSON objects. Agents dial entries and
// entries dial each other; calls are then made in both directions on the same
// connection. Durations are in whole milliseconds, sizes in bytes.
package messenger

import (
	"net/http"
	"time"

	"bamboospread/internal/fleet/describer"
)

// Names of the methods. The part before the slash names the component that answers.
const (
	MethodAnnounce     = "entry/announce"  // agent to entry: Announce, AnnounceReply
	MethodHeartbeat    = "entry/heartbeat" // agent to entry: Heartbeat, AnnounceReply
	MethodFleet        = "entry/fleet"     // agent or entry to entry: FleetRequest, FleetReply
	MethodPeers        = "entry/peers"     // entry to entry: PeersRequest, AnnounceReply
	MethodRun          = "agent/run"       // entry to agent: RunRequest, RunReply
	MethodPoll         = "cell/poll"       // agent to the cell's owner: Poll, PollReply
	MethodSubmit       = "cell/submit"     // entry to owner: SubmitRequest, SubmitReply
	MethodCancel       = "cell/cancel"     // entry to owner: CancelRequest, CancelReply
	MethodClaim        = "cell/claim"      // entry to owner: ClaimRequest, ClaimReply
	MethodResolveClaim = "cell/settle"     // entry to owner: ResolveClaimRequest, Empty
	MethodFindTasks    = "cell/find-tasks" // entry to owner: FindTasksOptions, FindTasksReply
	MethodStatus       = "cell/status"     // entry to owner: StatusRequest, Status
	MethodExplain      = "cell/explain"    // entry to owner: ExplainRequest, ExplainReply
	MethodEvents       = "cell/events"     // entry to owner: EventsRequest, EventsReply
)

// Codes of JSON-RPC errors that callers act on.
const (
	CodeNotOwner    int64 = -32001 // the called process does not own the cell
	CodeUnavailable int64 = -32002 // the call had no effect; retry later
	CodeUnknown     int64 = -32003 // whether the call had an effect is unknown; retry with the same id
	CodeBadRequest  int64 = -32004 // the request is invalid
	CodeNotExist    int64 = -32005 // no such task, VM or service
)

// Empty is a message without content.
type Empty struct{}

// CellOwner is the owner of a cell as known to the sender.
type CellOwner struct {
	Cell    string `json:"cell"`
	Epoch   int64  `json:"epoch"`
	EntryID string `json:"entry-id"`
	Address string `json:"address"` // RPC address, host:port
}

// PeerAddress is an entry and its RPC address.
type PeerAddress struct {
	EntryID string `json:"entry-id"`
	Address string `json:"address"`
}

// UpstreamState is the state of an upstream as reported by its agent.
type UpstreamState string

// States of an upstream.
const (
	UpstreamReady   UpstreamState = "ready"
	UpstreamLeaving UpstreamState = "leaving" // finishes running requests, takes no new ones
	UpstreamDown    UpstreamState = "down"
)

// Upstream is a back-end process of a service, co-located with an agent.
type Upstream struct {
	ID          string        `json:"id"` // unique in the fleet
	Service     string        `json:"service"`
	Slots       int           `json:"slots"`
	Connections int           `json:"connections"`
	State       UpstreamState `json:"state"`
	InFlight    int           `json:"in-flight"` // requests running now
}

// Announce opens a session of an agent with an entry.
type Announce struct {
	AgentID     string     `json:"agent-id"`
	Incarnation int64      `json:"incarnation"` // start time in ns; distinguishes the processes of an agent
	VM          string     `json:"vm"`
	Zone        string     `json:"zone"`
	Rack        string     `json:"rack"`
	Upstreams   []Upstream `json:"upstreams"`
	Sequence    int64      `json:"sequence"` // increases with each Announce and Heartbeat of the incarnation
}

// Heartbeat renews the session and reports load and state. A changed state, such
// as leaving, is sent immediately and not at the next interval.
type Heartbeat struct {
	AgentID      string     `json:"agent-id"`
	Incarnation  int64      `json:"incarnation"`
	Sequence     int64      `json:"sequence"`
	Upstreams    []Upstream `json:"upstreams"`
	FleetVersion int64      `json:"fleet-version"` // highest version that the agent has
}

// AnnounceReply answers Announce, Heartbeat and PeersRequest with the entry's view
// of the rest of the system.
type AnnounceReply struct {
	EntryID      string        `json:"entry-id"`
	Peers        []PeerAddress `json:"peers"` // all live entries, including the sender
	Owners       []CellOwner   `json:"owners"`
	FleetVersion int64         `json:"fleet-version"`
	// Outstanding is the number of attempts whose replies the entry still awaits
	// from the agent; a leaving agent exits when it is zero.
	Outstanding int `json:"outstanding,omitempty"`
}

// PeersRequest is exchanged between entries about once a second.
type PeersRequest struct {
	From         PeerAddress `json:"from"`
	FleetVersion int64       `json:"fleet-version"`
}

// FleetRequest asks for the fleet record if its version is above Above.
type FleetRequest struct {
	Above int64 `json:"above"`
}

// FleetReply contains the stored fleet record, or an empty one.
type FleetReply struct {
	Version int64  `json:"version"`
	Record  []byte `json:"record,omitempty"` // as stored, see fleet/changer
}

// Outcome says whether a request ran.
type Outcome string

// Outcomes of a request. OutcomeNotRun is only returned when it is certain.
const (
	OutcomeRun     Outcome = "run"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// Reasons of a RunReply with OutcomeNotRun that an entry acts on; any other reason
// is only informational.
const (
	ReasonFull            = "all slots of the upstream are taken"
	ReasonLeaving         = "the upstream is leaving"
	ReasonUnknownUpstream = "the upstream is not known to the agent"
)

// RunRequest is one attempt to run a caller's request at an upstream.
type RunRequest struct {
	RequestID     string      `json:"request-id"`
	Attempt       int         `json:"attempt"`
	Upstream      string      `json:"upstream"`
	Service       string      `json:"service"`
	Tenant        string      `json:"tenant"`
	Method        string      `json:"method"`
	Path          string      `json:"path"` // including the query
	Header        http.Header `json:"header,omitempty"`
	Body          []byte      `json:"body,omitempty"`
	TimeoutMillis int64       `json:"timeout-ms"` // time left until the caller's deadline
}

// RunReply answers a RunRequest. Header, Body and Status are only valid with
// OutcomeRun.
type RunReply struct {
	RequestID        string      `json:"request-id"`
	Attempt          int         `json:"attempt"`
	Outcome          Outcome     `json:"outcome"`
	Reason           string      `json:"reason,omitempty"` // with OutcomeNotRun and OutcomeUnknown
	Status           int         `json:"status,omitempty"`
	Header           http.Header `json:"header,omitempty"`
	Body             []byte      `json:"body,omitempty"`
	BodyLength       int         `json:"body-length"`
	RetryAfterMillis int64       `json:"retry-after-ms,omitempty"`
	InFlight         int         `json:"in-flight"` // requests at the upstream after this one
}

// ClaimRequest asks the owner for the right to run a keyed request.
type ClaimRequest struct {
	Cell      string `json:"cell"`
	Tenant    string `json:"tenant"`
	Service   string `json:"service"`
	Key       string `json:"key"`        // the caller's Idempotency-Key
	Digest    string `json:"digest"`     // of service, method, path and body; the same key with a different digest is an error
	RequestID string `json:"request-id"` // of the claiming request; a repeated claim with the same id is granted again
}

// ClaimState is the state of the claim to a keyed request.
type ClaimState string

// States of a claim.
const (
	ClaimGranted  ClaimState = "granted"  // the claiming request may run
	ClaimHeld     ClaimState = "held"     // another request with the key is running, or its outcome is unknown, as after a crash
	ClaimResolved ClaimState = "settled"  // the request ran; the answer is attached if it was small enough
	ClaimMismatch ClaimState = "mismatch" // the key was used for a different request
)

// ClaimReply answers a ClaimRequest.
type ClaimReply struct {
	State  ClaimState    `json:"state"`
	Answer *StoredAnswer `json:"answer,omitempty"`
}

// StoredAnswer is the answer to a keyed request, stored for repeats.
type StoredAnswer struct {
	Status   int         `json:"status"`
	Header   http.Header `json:"header,omitempty"`
	Body     []byte      `json:"body,omitempty"`
	Complete bool        `json:"whole"` // false: the body was too large to store
}

// ResolveClaimRequest reports the outcome of a claimed request to the owner. OutcomeNotRun
// releases the claim, OutcomeRun stores the answer, OutcomeUnknown leaves the claim
// held permanently.
type ResolveClaimRequest struct {
	Cell      string        `json:"cell"`
	Tenant    string        `json:"tenant"`
	Key       string        `json:"key"`
	RequestID string        `json:"request-id"`
	Outcome   Outcome       `json:"outcome"`
	Answer    *StoredAnswer `json:"answer,omitempty"`
}

// Millis returns d in whole milliseconds, rounded up, so that a short positive
// duration does not become zero.
func Millis(d time.Duration) int64 {
	if d <= 0 {
		return 0
	}
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// FromMillis returns the duration of ms milliseconds.
func FromMillis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Capacity is the location and size of a VM, as reported to the cell's owner.
type Capacity struct {
	VM    string              `json:"vm"`
	Zone  string              `json:"zone"`
	Rack  string              `json:"rack"`
	Total describer.Resources `json:"total"`
}
