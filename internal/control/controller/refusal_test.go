package controller

import (
	"errors"
	"strings"
	"testing"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// Guards against callers that wait for the whole time limit of a call, and then do not know
// whether it had an effect, because the state refuses the record of their call.
func TestRefusedRecordIsAnsweredAtOnce(t *testing.T) {
	claimed := bookkeeper.Record{Claimed: &bookkeeper.Claimed{Tenant: "caroni", Key: "k", RequestID: "r"}}
	spec := messenger.TaskSpec{ID: "new", Tenant: "caroni", Class: "labels"}
	tests := []struct {
		name     string
		before   []bookkeeper.Record
		accepted int // records that the state accepts before it refuses
		request  any
		code     int64 // of the error; 0: the reply has the reason
	}{
		{"claim", nil, 0, messenger.ClaimRequest{Tenant: "caroni", Key: "k", RequestID: "r"}, messenger.CodeUnavailable},
		{"resolution", []bookkeeper.Record{claimed}, 0, messenger.ResolveClaimRequest{Tenant: "caroni", Key: "k", RequestID: "r"}, messenger.CodeUnavailable},
		{"submission", nil, 0, messenger.SubmitRequest{Tasks: []messenger.TaskSpec{spec}}, 0},
		{"cancellation of a running task", nil, 0, messenger.CancelRequest{IDs: []string{"running"}}, messenger.CodeUnavailable},
		{"cancellation of a waiting task", nil, 0, messenger.CancelRequest{IDs: []string{"waiting"}}, messenger.CodeUnavailable},
		{"one cancellation of two", nil, 1, messenger.CancelRequest{IDs: []string{"waiting", "running"}}, messenger.CodeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			to := newTestOwner(t)
			to.fleet = describer.New(describer.Config{
				Version: 1, Zones: []describer.Zone{{Name: "z", State: describer.ZoneIn}},
				Tenants: []describer.Tenant{{Name: "caroni"}}, TaskClasses: []describer.TaskClass{{Name: "labels"}},
			})
			to.startTask("running")
			to.apply(append(tt.before, bookkeeper.Record{Submitted: &bookkeeper.Submitted{Spec: messenger.TaskSpec{ID: "waiting"}}})...)
			applied := 0
			to.applyRecord = func(r bookkeeper.Record) error {
				if applied++; applied > tt.accepted {
					return errors.New("refused for a test")
				}
				return to.state.Apply(r)
			}
			call := to.call()
			call.request = tt.request
			to.handle(call)
			for _, after := range to.commits.pending.callbacks { // what is accepted is journalled
				after()
			}
			select {
			case result := <-call.result:
				if tt.code != 0 {
					if connector.CodeOf(result.err) != tt.code || !strings.Contains(result.err.Error(), "refused for a test") {
						t.Errorf("error %v, want code %d and the reason", result.err, tt.code)
					}
					return
				}
				reply, _ := result.value.(messenger.SubmitReply)
				if len(reply.Results) != 1 || reply.Results[0].Accepted || !strings.Contains(reply.Results[0].Reason, "refused for a test") {
					t.Errorf("%+v, %v", reply, result.err)
				}
			default:
				t.Error("the call got no answer")
			}
		})
	}
}
