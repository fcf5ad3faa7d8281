package connector

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/wire/messenger"
)

// FuzzReadObject reads frames of arbitrary bytes, as from a faulty or hostile peer. It
// must neither crash nor allocate more than the limit, and what it accepts must be equal
// after writing and reading it again.
func FuzzReadObject(f *testing.F) {
	var framed bytes.Buffer
	id := jsonrpc2.ID{Num: 7}
	params := json.RawMessage(`{"cell":"main"}`)
	if err := (codec{}).WriteObject(&framed, &jsonrpc2.Request{Method: messenger.MethodPoll, ID: id, Params: &params}); err != nil {
		f.Fatal(err)
	}
	f.Add(framed.Bytes())
	f.Add(binary.AppendUvarint(nil, 1<<62))
	f.Add(binary.AppendUvarint(nil, MaxMessageBytes))
	f.Add(bytes.Repeat([]byte{0xff}, 11))
	f.Add([]byte{2, '{', '}'})
	f.Fuzz(func(t *testing.T, data []byte) {
		var v any
		if err := (codec{}).ReadObject(bufio.NewReader(bytes.NewReader(data)), &v); err != nil {
			return
		}
		var again bytes.Buffer
		if err := (codec{}).WriteObject(&again, v); err != nil {
			t.Fatal(err)
		}
		var decoded any
		if err := (codec{}).ReadObject(bufio.NewReader(&again), &decoded); err != nil || !reflect.DeepEqual(v, decoded) {
			t.Errorf("%v was decoded as %v, %v", v, decoded, err)
		}
	})
}

// decoders has the decoder of each message; the fuzz input selects one by index.
var decoders = []func([]byte) (any, error){
	decoder[messenger.Announce], decoder[messenger.AnnounceReply], decoder[messenger.Heartbeat],
	decoder[messenger.PeersRequest], decoder[messenger.FleetRequest], decoder[messenger.FleetReply],
	decoder[messenger.RunRequest], decoder[messenger.RunReply], decoder[messenger.ClaimRequest],
	decoder[messenger.ClaimReply], decoder[messenger.ResolveClaimRequest], decoder[messenger.Poll],
	decoder[messenger.PollReply], decoder[messenger.SubmitRequest], decoder[messenger.SubmitReply],
	decoder[messenger.CancelRequest], decoder[messenger.CancelReply], decoder[messenger.FindTasksOptions],
	decoder[messenger.FindTasksReply], decoder[messenger.Status], decoder[messenger.ExplainRequest],
	decoder[messenger.ExplainReply], decoder[messenger.EventsRequest], decoder[messenger.EventsReply],
	decoder[messenger.CellOwner], decoder[messenger.Empty],
}

func decoder[T any](data []byte) (any, error) { return Decode[T](data) }

// FuzzDecode decodes bytes as each message. What is accepted must be unchanged after
// encoding and decoding it again, so that an entry that forwards a message does not alter it.
func FuzzDecode(f *testing.F) {
	now := time.Unix(1, 0).UTC()
	seeds := []any{
		messenger.Announce{AgentID: "a", Upstreams: []messenger.Upstream{{ID: "u", Slots: 8}}},
		messenger.RunRequest{RequestID: "r", Body: []byte("x"), Header: map[string][]string{"A": {"b"}}},
		messenger.Poll{Tasks: []messenger.TaskReport{{TaskID: "t", Attempt: 1}}, Usage: &messenger.Usage{}},
		messenger.PollReply{Orders: []messenger.Order{{Kind: messenger.OrderStart, Needs: describer.Resources{Millicores: 1}}}},
		messenger.FindTasksReply{Tasks: []messenger.Task{{Submitted: now, Changed: now}}},
		messenger.Status{Tasks: map[messenger.TaskState]int{messenger.TaskHeld: 1}},
		messenger.EventsReply{Decisions: []messenger.Decision{{Number: 1, Time: now, Inputs: map[string]string{"a": "b"}}}},
		messenger.FleetReply{Version: 3, Record: []byte("{}")},
	}
	for i, s := range seeds {
		data, err := json.Marshal(s)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint(i), data)
	}
	f.Add(uint(0), []byte(`{"incarnation":1e99}`))
	f.Add(uint(6), []byte(`{"body":"?"}`))
	f.Fuzz(func(t *testing.T, index uint, data []byte) {
		decode := decoders[index%uint(len(decoders))]
		v, err := decode(data)
		if err != nil {
			if CodeOf(err) != messenger.CodeBadRequest {
				t.Errorf("got %v, want a bad request", err)
			}
			return
		}
		first, err := json.Marshal(v)
		if err != nil {
			t.Fatalf("%#v can't be encoded: %v", v, err)
		}
		again, err := decode(first)
		if err != nil {
			t.Fatalf("%s can't be decoded again: %v", first, err)
		}
		if second, err := json.Marshal(again); err != nil || !bytes.Equal(first, second) {
			t.Errorf("%s became %s, %v", first, second, err)
		}
	})
}
