package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"bamboospread/internal/store/keeper"
)

// pagedStore returns one job on each page of a list.
type pagedStore struct {
	jobs  int
	calls int
	fails func(call int) bool // calls are counted from 1
}

func (p *pagedStore) find(_ context.Context, o keeper.ListOptions) (keeper.ListResult, error) {
	p.calls++
	if p.fails(p.calls) {
		return keeper.ListResult{}, keeper.ErrUnavailable{Cause: errNoAnswer}
	}
	next := 0
	if o.After != "" {
		if _, err := fmt.Sscanf(o.After, JobKey("%016d"), &next); err != nil {
			return keeper.ListResult{}, err
		}
	}
	next++
	if o.Prefix != WorkPrefix || next > p.jobs {
		return keeper.ListResult{Revision: 9}, nil
	}
	id := fmt.Sprintf("%016d", next)
	job := keeper.Record{Key: JobKey(id), Revision: int64(next), Value: []byte(`{"id":"` + id + `","queue":"q","steps":[{"count":1}]}`)}
	return keeper.ListResult{Records: []keeper.Record{job}, Revision: 9, More: next < p.jobs}, nil
}

// Guards against a cell without an owner: a takeover is given up for one page that could not be
// read, and the next one reads all of them again.
func TestTakeoverContinuesAfterFailedPage(t *testing.T) {
	const jobs = 5
	tests := []struct {
		name  string
		fails func(call int) bool
		ok    bool
		calls int
	}{
		{"all answered", func(int) bool { return false }, true, jobs + 1},
		{"each second call fails", func(call int) bool { return call%2 == 0 }, true, 2*jobs + 1},
		{"no call is answered any more", func(call int) bool { return call > 3 }, false, 3 + maxReadFailures},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := &pagedStore{jobs: jobs, fails: tt.fails}
			s := newFollowScheduler(keeper.Calls{
				FindRecords: store.find,
				GetRecord:   func(context.Context, string) (keeper.Record, error) { return keeper.Record{}, keeper.ErrKeyNotExist{} },
			})
			o, err := s.takeOver(t.Context(), 2)
			if (err == nil) != tt.ok || store.calls != tt.calls {
				t.Errorf("%d calls, want %d, %v", store.calls, tt.calls, err)
			}
			if err == nil && len(o.state.Jobs) != jobs {
				t.Errorf("%d jobs", len(o.state.Jobs))
			}
		})
	}
}

// Guards against a takeover that fails for one call that is not answered.
func TestTakeoverReadsMembersAgain(t *testing.T) {
	calls := 0
	s := newFollowScheduler(keeper.Calls{
		FindRecords: func(context.Context, keeper.ListOptions) (keeper.ListResult, error) { return keeper.ListResult{}, nil },
		GetRecord: func(_ context.Context, key string) (keeper.Record, error) {
			if key != "cells/jobs/vms" {
				return keeper.Record{}, keeper.ErrKeyNotExist{Key: key}
			}
			if calls++; calls < maxReadFailures {
				return keeper.Record{}, keeper.ErrUnavailable{Cause: errNoAnswer}
			}
			return keeper.Record{Key: key, Revision: 3, Value: []byte(`["vm-1"]`)}, nil
		},
	})
	o, err := s.takeOver(t.Context(), 2)
	if err != nil {
		t.Fatal(err)
	}
	if !o.members["vm-1"] {
		t.Errorf("members %v", o.members)
	}
}

// Guards against a cell without an owner: one record that another writer has left unreadable fails
// each takeover.
func TestTakeoverSurvivesUnreadableRecords(t *testing.T) {
	const revision = 77
	tests := []struct {
		name, key, value string
		epoch            int64
		unreported       bool
	}{
		{"readable", "cells/jobs/epoch", "4", 5, false},
		{"epoch of another type", "cells/jobs/epoch", `{"epoch":4}`, revision + 1, false},
		{"epoch not JSON", "cells/jobs/epoch", "\x00\xff", revision + 1, false},
		{"epoch too large", "cells/jobs/epoch", "9223372036854775807", revision + 1, false},
		{"epoch beyond all integers", "cells/jobs/epoch", "1e400", revision + 1, false},
		{"negative epoch", "cells/jobs/epoch", "-3", revision + 1, false},
		{"epoch null", "cells/jobs/epoch", "null", revision + 1, false},
		{"epoch that no owner has had", "cells/jobs/epoch", "0", revision + 1, false},
		{"members readable, none", "cells/jobs/vms", "[]", 1, false},
		{"members null", "cells/jobs/vms", "null", 1, true},
		{"members without a name", "cells/jobs/vms", `["vm-1",""]`, 1, true},
		{"members of another type", "cells/jobs/vms", `{"vm-1":1}`, 1, true},
		{"members not JSON", "cells/jobs/vms", "[", 1, true},
		{"members deeply nested", "cells/jobs/vms", strings.Repeat("[", 200_000), 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var written int64
			s := newFollowScheduler(keeper.Calls{
				FindRecords: func(context.Context, keeper.ListOptions) (keeper.ListResult, error) { return keeper.ListResult{}, nil },
				GetRecord: func(_ context.Context, key string) (keeper.Record, error) {
					if key != tt.key {
						return keeper.Record{}, keeper.ErrKeyNotExist{Key: key}
					}
					return keeper.Record{Key: key, Revision: revision, Value: []byte(tt.value)}, nil
				},
				Transact: func(_ context.Context, tx keeper.Transaction) (int64, error) {
					return 78, json.Unmarshal(tx.Puts[0].Value, &written)
				},
			})
			epoch, err := s.tryRaiseEpoch(t.Context(), "cells/jobs/epoch")
			if err != nil || epoch != tt.epoch || written != tt.epoch {
				t.Errorf("epoch %d, stored %d, want %d, %v", epoch, written, tt.epoch, err)
			}
			o, err := s.takeOver(t.Context(), epoch)
			if err != nil {
				t.Fatal(err)
			}
			if got := len(o.unreported) > 0; got != tt.unreported {
				t.Errorf("waits for leases: %t, want %t", got, tt.unreported)
			}
		})
	}
}
