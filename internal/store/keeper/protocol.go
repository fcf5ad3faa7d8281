package keeper

// PathPrefix begins the path of every call; the kind of the call follows. Calls
// are POSTs with a JSON body.
const PathPrefix = "/v1/"

// Kinds of calls, as counted against the limits of the service.
const (
	KindGet       = "get"        // KeyCall, RecordAnswer
	KindList      = "list"       // ListCall, ListAnswer
	KindSwap      = "swap"       // SwapCall, RevisionAnswer
	KindTransact  = "transact"   // Transaction, RevisionAnswer
	KindDelete    = "delete"     // DeleteCall
	KindGrant     = "grant"      // LeaseCall, LeaseCall
	KindKeepAlive = "keep-alive" // LeaseCall
	KindRevoke    = "revoke"     // LeaseCall
	KindWatch     = "watch"      // WatchCall, WatchAnswer
)

// KeyCall names a key.
type KeyCall struct {
	Key string `json:"key"`
}

// ListCall is ListOptions on the wire.
type ListCall struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit,omitempty"`
}

// SwapCall is SwapOptions on the wire.
type SwapCall struct {
	Key            string `json:"key"`
	Value          []byte `json:"value"`
	ExpectRevision int64  `json:"expect-revision"`
	Lease          int64  `json:"lease,omitempty"`
}

// DeleteCall names a record at a revision.
type DeleteCall struct {
	Key            string `json:"key"`
	ExpectRevision int64  `json:"expect-revision"`
}

// LeaseCall names a lease, or asks for one.
type LeaseCall struct {
	Lease     int64 `json:"lease,omitempty"`
	TTLMillis int64 `json:"ttl-ms,omitempty"`
}

// WatchCall is WatchOptions on the wire.
type WatchCall struct {
	Prefix     string `json:"prefix"`
	After      int64  `json:"after"`
	WaitMillis int64  `json:"wait-ms"`
}

// RecordAnswer carries a record; with status 409 the one that stands instead of
// the one expected.
type RecordAnswer struct {
	Record Record `json:"record"`
}

// RevisionAnswer carries the revision of a written record.
type RevisionAnswer struct {
	Revision int64 `json:"revision"`
}

// ListAnswer is ListResult on the wire.
type ListAnswer struct {
	Records  []Record `json:"records"`
	Revision int64    `json:"revision"`
	More     bool     `json:"more"`
}

// WatchAnswer is WatchResult on the wire.
type WatchAnswer struct {
	Changes  []Change `json:"changes"`
	Revision int64    `json:"revision"`
}
