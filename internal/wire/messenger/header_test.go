package messenger

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestHeaderTravelsUnchanged sends header values of any bytes as JSON does: what
// arrives must be what was sent, byte by byte.
func TestHeaderTravelsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := make(http.Header)
		for _, v := range rapid.SliceOf(rapid.SliceOf(rapid.Byte())).Draw(t, "values") {
			sent.Add("X-Name", string(v))
		}
		data, err := json.Marshal(PackHeader(sent))
		if err != nil {
			t.Fatal(err)
		}
		var carried http.Header
		if err := json.Unmarshal(data, &carried); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(sent, UnpackHeader(carried)); diff != "" {
			t.Error(diff)
		}
	})
}
