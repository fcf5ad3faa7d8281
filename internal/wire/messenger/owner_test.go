package messenger

import (
	"testing"

	"bamboospread/internal/store/decoder"
)

// Guards against an owner that nobody can call: a record of another writer that names no entry, no address or
// another cell counted as the owner.
func TestDecodeOwner(t *testing.T) {
	tests := []struct {
		value, field string
		ok           bool
	}{
		{`{"cell":"c","epoch":3,"entry-id":"e","address":"127.0.0.1:1"}`, "", true},
		{`{"cell":"c","epoch":0,"entry-id":"e","address":"127.0.0.1:1"}`, "", true},
		{`null`, "", false},
		{`{}`, "cell", false},
		{`{"cell":"d","epoch":3,"entry-id":"e","address":"127.0.0.1:1"}`, "cell", false},
		{`{"cell":"c","entry-id":"e","address":"127.0.0.1:1"}`, "epoch", false},
		{`{"cell":"c","epoch":null,"entry-id":"e","address":"127.0.0.1:1"}`, "epoch", false},
		{`{"cell":"c","epoch":-1,"entry-id":"e","address":"127.0.0.1:1"}`, "epoch", false},
		{`{"cell":"c","epoch":3,"address":"127.0.0.1:1"}`, "entry-id", false},
		{`{"cell":"c","epoch":3,"entry-id":"e"}`, "address", false},
		{`{"cell":"c","epoch":3,"entry-id":"e","address":7}`, "address", false},
	}
	for _, tt := range tests {
		o, err := DecodeOwner([]byte(tt.value), "c")
		if e, _ := err.(decoder.ErrField); (err == nil) != tt.ok || e.Field != tt.field || !tt.ok && o != (CellOwner{}) {
			t.Errorf("%s: %+v, %v, want field %q", tt.value, o, err, tt.field)
		}
	}
}

func FuzzDecodeOwner(f *testing.F) {
	for _, value := range []string{`{"cell":"c","epoch":3,"entry-id":"e","address":"127.0.0.1:1"}`, `null`, `{"Cell":"c"}`, "\x00"} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		o, err := DecodeOwner(value, "c")
		if err == nil && (o.Cell != "c" || o.Epoch < 0 || o.EntryID == "" || o.Address == "") || err != nil && o != (CellOwner{}) {
			t.Errorf("%+v, %v", o, err)
		}
	})
}
