package messenger

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestPackedHeaderSurvivesJSON encodes header values of arbitrary bytes as JSON: the
// decoded values must be equal byte by byte.
func TestPackedHeaderSurvivesJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := make(http.Header)
		for _, v := range rapid.SliceOf(rapid.SliceOf(rapid.Byte())).Draw(t, "values") {
			sent.Add("X-Name", string(v))
		}
		data, err := json.Marshal(PackHeader(sent))
		if err != nil {
			t.Fatal(err)
		}
		var decoded http.Header
		if err := json.Unmarshal(data, &decoded); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(sent, UnpackHeader(decoded)); diff != "" {
			t.Error(diff)
		}
	})
}
