// Package admitter decides which jobs are refused because they could not be of value to their
// callers. It answers a backlog that grows for seconds or longer: more work arrives than is done. The
// owner of the cell computes a Table from its backlog and the rate at which it is done; entries decide
// by the table without a call to the owner. The package uses no clock, network or store.
package admitter

import (
	"encoding/json"
	"fmt"
	"time"

	"bamboospread/internal/job/specifier"
)

// Format is the version of the meaning of tables. Tables of another format are not used.
const Format = 1

// Limits of tables.
const (
	// TableTTL is how long a table may be used after the owner computed it. Entries receive one a
	// second; two may be lost.
	TableTTL = 3 * time.Second
	// maxPoints bounds the size of a row.
	maxPoints = 16
	// maxRows bounds the size of a table: a row takes up to 500 bytes.
	maxRows = 64
)

// Table holds, by queue and client account, what a job that came now would have to wait for.
type Table struct {
	Format  int   `json:"format"`
	Version int64 `json:"version"` // increases with each table of an owner
	Epoch   int64 `json:"epoch"`   // of the owner
	Entries int   `json:"entries"` // that decide by the table
	Rows    []Row `json:"rows,omitempty"`
}

// Row is the backlog of a queue, or of a client account in a queue.
type Row struct {
	Queue   string `json:"queue"`
	Account string `json:"account,omitempty"` // empty: all accounts
	// Drain is how much declared work is done in a second, by an optimistic quantile of what was
	// measured under backlog. 0: not known, nothing is refused.
	Drain float64 `json:"drain"`
	// OnTime is the waiting work of jobs that can be in time, by the rank of a new job that is served
	// after it. While the new job can be in time too, nothing else is served before it.
	OnTime []Point `json:"on-time,omitempty"`
	// Ahead is the same of all jobs that still have a value.
	Ahead []Point `json:"ahead,omitempty"`
	// Room is what long-running tasks can still get; nil: not known.
	Room *Room `json:"room,omitempty"`
}

// Point states the waiting work of jobs up to a rank.
type Point struct {
	Rank float64 `json:"rank"`
	Work float64 `json:"work"` // core-seconds
}

// DecodeTable decodes a table. It returns an error for a format that this build does not know.
func DecodeTable(raw json.RawMessage) (*Table, error) {
	var t Table
	if err := json.Unmarshal(raw, &t); err != nil {
		return nil, fmt.Errorf("decode admission table: %w", err)
	}
	if t.Format != Format {
		return nil, fmt.Errorf("admission table has format %d, want %d", t.Format, Format)
	}
	return &t, nil
}

// row returns the row of an account in a queue. own reports whether the account has rows of its own
// in this table.
func (t *Table) row(queue, account string) (row *Row, byAccount bool) {
	var all *Row
	for i := range t.Rows {
		r := &t.Rows[i]
		switch {
		case r.Queue != queue:
		case r.Account == "":
			all = r
		case r.Account == account:
			return r, true
		default:
			byAccount = true
		}
	}
	return all, byAccount
}

// upTo returns the waiting work that is served before a job of a rank.
func upTo(points []Point, rank float64) float64 {
	work := 0.0
	for _, p := range points {
		if p.Rank <= rank {
			work = p.Work
		}
	}
	return work
}

// WaitAt returns the expected wait of a job of a rank by the rows of a table; known is false without a
// measured drain.
func WaitAt(rows []Row, queue, account string, rank float64) (wait time.Duration, known bool) {
	t := Table{Rows: rows}
	row, byAccount := t.row(queue, account)
	if row == nil || row.Drain <= 0 || byAccount && row.Account != account {
		return 0, false
	}
	return specifier.Span(upTo(row.Ahead, rank) / row.Drain * float64(time.Second)), true
}
