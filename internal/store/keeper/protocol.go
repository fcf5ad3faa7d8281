package keeper

// PathPrefix is the path of every call, followed by the kind of the call. Calls are
// POST requests with a JSON body.
const PathPrefix = "/v1/"

// Kinds of calls, which the service counts against its limits, with the types of the
// request and the answer.
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

// KeyCall requests the record of a key.
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

// DeleteCall deletes a record at a revision.
type DeleteCall struct {
	Key            string `json:"key"`
	ExpectRevision int64  `json:"expect-revision"`
}

// LeaseCall identifies a lease or requests a new one.
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

// RecordAnswer contains a record; with status 409, the current record in place of
// the expected one.
type RecordAnswer struct {
	Record Record `json:"record"`
}

// RevisionAnswer contains the revision of a written record.
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
