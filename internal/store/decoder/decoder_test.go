package decoder

import (
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"
)

type testPart struct {
	Number int      `json:"number"`
	Notes  []string `json:"notes,omitempty"`
}

type testRecord struct {
	State  string            `json:"state"`
	Limit  *int64            `json:"limit,omitempty"`
	Open   []testPart        `json:"open"`
	Counts map[string]int64  `json:"counts,omitempty"`
	Pairs  [][2]int64        `json:"pairs,omitempty"`
	Parts  map[int]*testPart `json:"parts,omitempty"`
}

// Guards against a record whose missing parts count as stated and empty.
func TestDecode(t *testing.T) {
	tests := []struct {
		value string
		field string // of the error
		ok    bool
	}{
		{`{"state":"a","open":[{"number":1,"notes":null},{"number":0}],"counts":{"x":1},"pairs":[[1,2]],"later":7}`, "", true},
		{`{"state":"a","open":null}`, "", true},
		{``, "", false},
		{`null`, "", false},
		{`[]`, "", false},
		{"\x00\xff", "", false},
		{`{}`, "state", false},
		{`{"open":[]}`, "state", false},
		{`{"state":null,"open":[]}`, "state", false},
		{`{"state":7,"open":[]}`, "state", false},
		{`{"State":"a","open":[]}`, "state", false},
		{`{"state":"a","State":"","open":[]}`, "state", false},
		{`{"state":"a"}`, "open", false},
		{`{"state":"a","open":[{"number":1},null]}`, "open[1]", false},
		{`{"state":"a","open":[{"number":1},{}]}`, "open[1].number", false},
		{`{"state":"a","open":[],"limit":null}`, "", true},
		{`{"state":"a","open":[],"counts":{"x":null}}`, `counts["x"]`, false},
		{`{"state":"a","open":[],"pairs":[[1]]}`, "pairs[0]", false},
		{`{"state":"a","open":[],"parts":{"3":{}}}`, `parts["3"].number`, false},
	}
	for _, tt := range tests {
		v, err := Decode[testRecord]([]byte(tt.value))
		if (err == nil) != tt.ok {
			t.Errorf("%s: %v", tt.value, err)
		}
		if e, isField := err.(ErrField); !tt.ok && (!isField || e.Field != tt.field || !reflect.ValueOf(v).IsZero()) {
			t.Errorf("%s: error %v (field %q), want field %q; decoded %+v", tt.value, err, e.Field, tt.field, v)
		}
	}
	names, err := Decode[[]string]([]byte(`["a","b"]`))
	if diff := cmp.Diff([]string{"a", "b"}, names); diff != "" || err != nil {
		t.Error(diff, err)
	}
	for _, value := range []string{`null`, `["a",null]`, `{"a":1}`} {
		if names, err := Decode[[]string]([]byte(value)); err == nil || names != nil {
			t.Errorf("%s: %q was accepted", value, names)
		}
	}
}

// Guards against a panic, and against a value beside an error.
func FuzzDecode(f *testing.F) {
	for _, value := range []string{`{"state":"a","open":[{"number":1}],"pairs":[[1,2]],"parts":{"3":{"number":1}}}`, `null`, `{"open":[null]}`, `{"state":"a","STATE":"b"}`, `[`} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		v, err := Decode[testRecord](value)
		if err != nil && !reflect.ValueOf(v).IsZero() {
			t.Errorf("%+v beside %v", v, err)
		}
		for _, p := range v.Parts {
			if p == nil {
				t.Error("a part is null")
			}
		}
	})
}
