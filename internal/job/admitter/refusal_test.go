package admitter

import "testing"

// Guards against a refusal that is believed in parts: one without its times counted as expired, and one without its
// work as a job of none.
func TestRefusalIsDecodedWhole(t *testing.T) {
	tests := []struct {
		value string
		ok    bool
	}{
		{`{"queue":"q","work":3,"first-ms":1,"at-ms":2,"judged-ms":2,"return-ms":9,"times":1}`, true},
		{`null`, false},
		{`{}`, false},
		{`{"queue":"q","work":3,"first-ms":1,"judged-ms":2,"return-ms":9,"times":1}`, false},
		{`{"queue":"q","work":null,"first-ms":1,"at-ms":2,"judged-ms":2,"return-ms":9,"times":1}`, false},
		{`{"queue":"q","work":"3","first-ms":1,"at-ms":2,"judged-ms":2,"return-ms":9,"times":1}`, false},
	}
	for _, tt := range tests {
		if r, err := DecodeRefusal([]byte(tt.value)); (err == nil) != tt.ok || !tt.ok && r != (Refusal{}) {
			t.Errorf("%s: %+v, %v", tt.value, r, err)
		}
	}
}

func FuzzDecodeRefusal(f *testing.F) {
	for _, value := range []string{`{"queue":"q","work":3,"first-ms":1,"at-ms":2,"judged-ms":2,"return-ms":9,"times":1}`, `null`, `{"queue":7}`} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		if r, err := DecodeRefusal(value); err != nil && r != (Refusal{}) {
			t.Errorf("%+v, %v", r, err)
		}
	})
}
