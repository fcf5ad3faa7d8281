package journaler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"bamboospread/internal/store/keeper"
)

// memory is a store in memory. Each call first calls injectFault, which may let another
// owner run, refuse the call, or lose the reply after the call took effect.
type memory struct {
	records     map[string]keeper.Record
	revision    int64
	injectFault func(kind string) fault
}

type fault int

const (
	noFault fault = iota
	refused
	replyLost
)

func newMemory() *memory {
	return &memory{records: make(map[string]keeper.Record), injectFault: func(string) fault { return noFault }}
}

func errRefused() error { return keeper.ErrUnavailable{Cause: errors.New("refused")} }

func (m *memory) get(_ context.Context, key string) (keeper.Record, error) {
	if m.injectFault("get") != noFault {
		return keeper.Record{}, errRefused()
	}
	r, ok := m.records[key]
	if !ok {
		return r, keeper.ErrKeyNotExist{Key: key}
	}
	return r, nil
}

func (m *memory) find(_ context.Context, o keeper.ListOptions) (keeper.ListResult, error) {
	if m.injectFault("list") != noFault {
		return keeper.ListResult{}, errRefused()
	}
	var out keeper.ListResult
	for k, r := range m.records {
		if strings.HasPrefix(k, o.Prefix) && k > o.After {
			out.Records = append(out.Records, r)
		}
	}
	sort.Slice(out.Records, func(i, j int) bool { return out.Records[i].Key < out.Records[j].Key })
	if len(out.Records) > 3 { // short pages, so that callers have to ask for more
		out.Records, out.More = out.Records[:3], true
	}
	return out, nil
}

func (m *memory) swap(_ context.Context, o keeper.SwapOptions) (int64, error) {
	f := m.injectFault("swap")
	if f == refused {
		return 0, errRefused()
	}
	if r := m.records[o.Key]; r.Revision != o.ExpectRevision {
		return 0, keeper.ErrConflict{Key: o.Key, Current: r}
	}
	m.revision++
	m.records[o.Key] = keeper.Record{Key: o.Key, Value: o.Value, Revision: m.revision}
	if f == replyLost {
		return 0, keeper.ErrOutcomeUnknown{Cause: errors.New("lost")}
	}
	return m.revision, nil
}

func (m *memory) delete(_ context.Context, key string, revision int64) error {
	if m.injectFault("delete") != noFault {
		return errRefused()
	}
	if r, ok := m.records[key]; !ok || r.Revision != revision {
		return keeper.ErrConflict{Key: key, Current: r}
	}
	delete(m.records, key)
	return nil
}

func (m *memory) journaler(name string) *Journaler {
	n := 0
	return New(Config{
		Cell: "c", EntryID: name, GetRecord: m.get, FindRecords: m.find, CompareAndSwap: m.swap, DeleteRecord: m.delete,
		NewID: func() string { n++; return fmt.Sprintf("%s-%d", name, n) },
		Pause: func(ctx context.Context, _ time.Duration) error { return ctx.Err() },
	})
}

func textRecords(s string) []json.RawMessage {
	return []json.RawMessage{json.RawMessage(`"` + s + `"`)}
}

func openingRecords(epoch int64) ([]json.RawMessage, error) {
	return textRecords(fmt.Sprintf("epoch %d", epoch)), nil
}

// replayed returns all records in order. In these tests a snapshot is the list of the
// records so far.
func replayed(r Recovered) []string {
	var all []string
	_ = json.Unmarshal(r.Snapshot, &all)
	for _, e := range r.Entries {
		for _, raw := range e.Records {
			var s string
			_ = json.Unmarshal(raw, &s)
			all = append(all, s)
		}
	}
	return all
}

func mustOpen(t testing.TB, j *Journaler) []string {
	r, err := j.Open(context.Background(), openingRecords)
	if err != nil {
		t.Fatal(err)
	}
	return replayed(r)
}
