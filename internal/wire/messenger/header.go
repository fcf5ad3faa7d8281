package messenger

import (
	"net/http"
	"strings"
)

// PackHeader returns a header that JSON preserves unchanged. HTTP allows header
// values that are not valid UTF-8; JSON would replace such bytes, and the caller
// would get a different header than the upstream sent. Each non-ASCII byte is
// encoded as the Unicode code point of the same value; UnpackHeader decodes it.
// A header without non-ASCII bytes is returned unchanged.
func PackHeader(h http.Header) http.Header { return convertValues(h, packValue) }

// UnpackHeader reverses PackHeader. Characters that PackHeader does not produce
// are dropped.
func UnpackHeader(h http.Header) http.Header { return convertValues(h, unpackValue) }

func convertValues(h http.Header, convert func(string) string) http.Header {
	ascii := true
	for _, values := range h {
		for _, v := range values {
			ascii = ascii && IsASCII(v)
		}
	}
	if ascii {
		return h
	}
	converted := make(http.Header, len(h))
	for name, values := range h {
		for _, v := range values {
			converted[name] = append(converted[name], convert(v))
		}
	}
	return converted
}

// IsASCII reports whether s has no byte above 127.
func IsASCII(s string) bool {
	for i := range len(s) {
		if s[i] > maxASCII {
			return false
		}
	}
	return true
}

const (
	maxASCII = 127
	maxByte  = 255
)

func packValue(v string) string {
	var b strings.Builder
	for i := range len(v) {
		b.WriteRune(rune(v[i]))
	}
	return b.String()
}

func unpackValue(v string) string {
	b := make([]byte, 0, len(v))
	for _, r := range v {
		if r <= maxByte {
			b = append(b, byte(r))
		}
	}
	return string(b)
}
