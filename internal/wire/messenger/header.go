package messenger

import (
	"net/http"
	"strings"
)

// PackHeader returns a header that JSON carries unchanged. HTTP allows bytes in
// values that are no UTF-8, and JSON would replace them: a caller would get
// another header than the upstream sent. Each byte above ASCII travels as the
// character of that number; UnpackHeader turns it back. The header is returned
// as it is if it has none.
func PackHeader(h http.Header) http.Header { return convert(h, packValue) }

// UnpackHeader undoes PackHeader. Characters that PackHeader does not make are
// dropped.
func UnpackHeader(h http.Header) http.Header { return convert(h, unpackValue) }

func convert(h http.Header, value func(string) string) http.Header {
	plain := true
	for _, values := range h {
		for _, v := range values {
			plain = plain && IsASCII(v)
		}
	}
	if plain {
		return h
	}
	converted := make(http.Header, len(h))
	for name, values := range h {
		for _, v := range values {
			converted[name] = append(converted[name], value(v))
		}
	}
	return converted
}

// IsASCII tells whether s has no byte above 127.
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
