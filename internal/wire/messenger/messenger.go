// Package messenger defines the messages between the processes of bamboospread:
// JSON-RPC 2.0 over TCP with varint-framed JSON objects. Agents dial entries,
// entries dial entries; requests then flow both ways on the same connection.
// Durations travel as whole milliseconds, sizes as bytes.
package messenger

import (
	"net/http"
	"time"

	"bamboospread/internal/fleet/describer"
)

// Names of the methods. The first part names the party that answers.
const (
	MethodAnnounce  = "entry/announce"  // agent to entry: Announce, AnnounceReply
	MethodHeartbeat = "entry/heartbeat" // agent to entry: Heartbeat, AnnounceReply
	MethodFleet     = "entry/fleet"     // agent or entry to entry: FleetRequest, FleetReply
	MethodPeers     = "entry/peers"     // entry to entry: PeersRequest, AnnounceReply
	MethodRun       = "agent/run"       // entry to agent: RunRequest, RunReply
	MethodPoll      = "cell/poll"       // agent to the cell's owner: Poll, PollReply
	MethodSubmit    = "cell/submit"     // entry to owner: SubmitRequest, SubmitReply
	MethodCancel    = "cell/cancel"     // entry to owner: CancelRequest, CancelReply
	MethodClaim     = "cell/claim"      // entry to owner: ClaimRequest, ClaimReply
	MethodSettle    = "cell/settle"     // entry to owner: SettleRequest, Empty
	MethodFindTasks = "cell/find-tasks" // entry to owner: FindTasksOptions, FindTasksReply
	MethodStatus    = "cell/status"     // entry to owner: StatusRequest, Status
	MethodExplain   = "cell/explain"    // entry to owner: ExplainRequest, ExplainReply
	MethodEvents    = "cell/events"     // entry to owner: EventsRequest, EventsReply
)

// Codes of JSON-RPC errors that callers act on.
const (
	CodeNotOwner    int64 = -32001 // the answering process does not own the cell
	CodeUnavailable int64 = -32002 // nothing was done; ask again later
	CodeUnknown     int64 = -32003 // whether it was done is not known; ask again with the same id
	CodeBadRequest  int64 = -32004 // the request itself is wrong
	CodeNotExist    int64 = -32005 // no such task, VM or service
)

// Empty is an answer without content.
type Empty struct{}

// CellOwner tells who owns a cell, as far as the sender knows.
type CellOwner struct {
	Cell    string `json:"cell"`
	Epoch   int64  `json:"epoch"`
	EntryID string `json:"entry-id"`
	Address string `json:"address"` // RPC address, host:port
}

// PeerAddress names an entry and its RPC address.
type PeerAddress struct {
	EntryID string `json:"entry-id"`
	Address string `json:"address"`
}

// UpstreamState is the state of an upstream as its agent sees it.
type UpstreamState string

// States of an upstream.
const (
	UpstreamReady   UpstreamState = "ready"
	UpstreamLeaving UpstreamState = "leaving" // finishes what runs, takes nothing new
	UpstreamDown    UpstreamState = "down"
)

// Upstream is one back-end process of a service beside an agent.
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
	Incarnation int64      `json:"incarnation"` // start time in ns; tells the processes of an agent apart
	VM          string     `json:"vm"`
	Zone        string     `json:"zone"`
	Rack        string     `json:"rack"`
	Upstreams   []Upstream `json:"upstreams"`
	Sequence    int64      `json:"sequence"` // rises with each Announce and Heartbeat of the incarnation
}

// Heartbeat renews the session and carries load and state. A changed state, such
// as leaving, is sent at once and not at the next interval.
type Heartbeat struct {
	AgentID      string     `json:"agent-id"`
	Incarnation  int64      `json:"incarnation"`
	Sequence     int64      `json:"sequence"`
	Upstreams    []Upstream `json:"upstreams"`
	FleetVersion int64      `json:"fleet-version"` // highest that the agent holds
}

// AnnounceReply answers Announce, Heartbeat and PeersRequest with what the entry
// knows of the rest of the system.
type AnnounceReply struct {
	EntryID      string        `json:"entry-id"`
	Peers        []PeerAddress `json:"peers"` // all live entries, also the sender
	Owners       []CellOwner   `json:"owners"`
	FleetVersion int64         `json:"fleet-version"`
	// Outstanding counts the attempts that the entry still awaits from the
	// agent; an agent that leaves goes when it is zero.
	Outstanding int `json:"outstanding,omitempty"`
}

// PeersRequest is sent between entries about once a second.
type PeersRequest struct {
	From         PeerAddress `json:"from"`
	FleetVersion int64       `json:"fleet-version"`
}

// FleetRequest asks for the fleet record if it is newer than Above.
type FleetRequest struct {
	Above int64 `json:"above"`
}

// FleetReply carries the stored fleet record, or an empty one.
type FleetReply struct {
	Version int64  `json:"version"`
	Record  []byte `json:"record,omitempty"` // as kept in the store, see fleet/changer
}

// Outcome tells a caller whether its request ran.
type Outcome string

// Outcomes of a request. NotRun is only said by a party that knows it.
const (
	OutcomeRun     Outcome = "run"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// Reasons of a RunReply with NotRun that an entry acts on; others are texts for
// people.
const (
	ReasonFull    = "all slots of the upstream are taken"
	ReasonLeaving = "the upstream is leaving"
	ReasonGone    = "the upstream is not known to the agent"
)

// RunRequest carries one attempt of a caller's request to an upstream.
type RunRequest struct {
	RequestID     string      `json:"request-id"`
	Attempt       int         `json:"attempt"`
	Upstream      string      `json:"upstream"`
	Service       string      `json:"service"`
	Tenant        string      `json:"tenant"`
	Method        string      `json:"method"`
	Path          string      `json:"path"` // with query
	Header        http.Header `json:"header,omitempty"`
	Body          []byte      `json:"body,omitempty"`
	TimeoutMillis int64       `json:"timeout-ms"` // time left of the caller's deadline
}

// RunReply answers a RunRequest. Header, Body and Status count only with
// OutcomeRun.
type RunReply struct {
	RequestID        string      `json:"request-id"`
	Attempt          int         `json:"attempt"`
	Outcome          Outcome     `json:"outcome"`
	Reason           string      `json:"reason,omitempty"` // with NotRun and Unknown
	Status           int         `json:"status,omitempty"`
	Header           http.Header `json:"header,omitempty"`
	Body             []byte      `json:"body,omitempty"`
	BodyLength       int         `json:"body-length"`
	RetryAfterMillis int64       `json:"retry-after-ms,omitempty"`
	InFlight         int         `json:"in-flight"` // of the upstream, after this request
}

// ClaimRequest asks the owner for the right to run a keyed request.
type ClaimRequest struct {
	Cell      string `json:"cell"`
	Tenant    string `json:"tenant"`
	Service   string `json:"service"`
	Key       string `json:"key"`        // the caller's Idempotency-Key
	Digest    string `json:"digest"`     // of method, path and body: the same key with another digest is an error
	RequestID string `json:"request-id"` // of the claiming request; claiming again with it is granted again
}

// ClaimState tells what is known of a keyed request.
type ClaimState string

// States of a claim.
const (
	ClaimGranted  ClaimState = "granted"  // the asker may run it
	ClaimHeld     ClaimState = "held"     // another request runs it, or died doing so: outcome unknown
	ClaimSettled  ClaimState = "settled"  // it ran; the answer is attached if it was small enough
	ClaimMismatch ClaimState = "mismatch" // the key was used for another request
)

// ClaimReply answers a ClaimRequest.
type ClaimReply struct {
	State  ClaimState  `json:"state"`
	Answer *KeptAnswer `json:"answer,omitempty"`
}

// KeptAnswer is the answer of a keyed request, kept for repeats.
type KeptAnswer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	Whole  bool        `json:"whole"` // false: the body was too large to be kept
}

// SettleRequest tells the owner how a claimed request ended. NotRun frees the
// claim, Run keeps the answer, Unknown leaves it held for good.
type SettleRequest struct {
	Cell      string      `json:"cell"`
	Tenant    string      `json:"tenant"`
	Key       string      `json:"key"`
	RequestID string      `json:"request-id"`
	Outcome   Outcome     `json:"outcome"`
	Answer    *KeptAnswer `json:"answer,omitempty"`
}

// Millis returns d in whole milliseconds, rounded up, so that a short positive
// time does not become none.
func Millis(d time.Duration) int64 {
	if d <= 0 {
		return 0
	}
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// FromMillis returns the duration of ms milliseconds.
func FromMillis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Capacity describes a VM to the cell's owner.
type Capacity struct {
	VM    string              `json:"vm"`
	Zone  string              `json:"zone"`
	Rack  string              `json:"rack"`
	Total describer.Resources `json:"total"`
}
