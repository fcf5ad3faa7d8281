package connector

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"sync"
	"time"

	"bamboospread/internal/wire/limiter"
)

// MaxMessageBytes limits the size of a message, so that a corrupt length prefix can't
// make the reader allocate unbounded memory.
const MaxMessageBytes = 24 << 20

// message is a request, or the answer to one, in the form of JSON-RPC 2.0. Its parts are decoded by
// those who know their types.
type message struct {
	id     json.RawMessage // empty: the sender expects no answer
	method string          // empty in answers
	params json.RawMessage
	result json.RawMessage
	err    json.RawMessage // a wireError
	held   int64           // bytes that the account of the connection holds for it
	// decodedBytes is about the memory that its values take once they are decoded, besides their text.
	decodedBytes int64
}

// wireError is the error of an answer.
type wireError struct {
	Code    int64  `json:"code"`
	Message string `json:"message"`
}

// appendRequest appends the frame of a request.
func appendRequest(frame []byte, id uint64, method string, params any) ([]byte, error) {
	encoded, err := json.Marshal(params)
	if err != nil {
		return nil, fmt.Errorf("encode parameters of %s: %w", method, err)
	}
	name, err := json.Marshal(method)
	if err != nil {
		return nil, fmt.Errorf("encode method: %w", err)
	}
	return appendFrame(frame, []byte(`{"id":`), strconv.AppendUint(nil, id, 10), []byte(`,"jsonrpc":"2.0","method":`), name, []byte(`,"params":`), encoded, []byte(`}`))
}

// resultFrame returns the frame of a successful answer. The result is encoded into the frame, without a
// copy of its own, since an answer may be large.
func resultFrame(id json.RawMessage, result any) ([]byte, error) {
	var b bytes.Buffer
	b.Write(make([]byte, binary.MaxVarintLen64)) // for the length
	b.WriteString(`{"id":`)
	b.Write(id)
	b.WriteString(`,"jsonrpc":"2.0","result":`)
	if err := json.NewEncoder(&b).Encode(result); err != nil {
		return nil, fmt.Errorf("encode answer: %w", err)
	}
	b.Truncate(b.Len() - 1) // Encode adds a newline
	b.WriteString(`}`)
	length := b.Len() - binary.MaxVarintLen64
	if length > MaxMessageBytes {
		return nil, fmt.Errorf("message of %d bytes is above the limit of %d", length, MaxMessageBytes)
	}
	var prefix [binary.MaxVarintLen64]byte
	n := binary.PutUvarint(prefix[:], uint64(length))
	frame := b.Bytes()[binary.MaxVarintLen64-n:]
	copy(frame, prefix[:n])
	return frame, nil
}

// appendError appends the frame of an answer with an error.
func appendError(frame []byte, id json.RawMessage, e wireError) ([]byte, error) {
	encoded, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode error: %w", err)
	}
	return appendFrame(frame, []byte(`{"error":`), encoded, []byte(`,"id":`), id, []byte(`,"jsonrpc":"2.0"}`))
}

// appendFrame appends the length of the parts as a varint, and the parts.
func appendFrame(frame []byte, parts ...[]byte) ([]byte, error) {
	length := 0
	for _, p := range parts {
		length += len(p)
	}
	if length > MaxMessageBytes {
		return nil, fmt.Errorf("message of %d bytes is above the limit of %d", length, MaxMessageBytes)
	}
	frame = binary.AppendUvarint(slices.Grow(frame, binary.MaxVarintLen64+length), uint64(length))
	for _, p := range parts {
		frame = append(frame, p...)
	}
	return frame, nil
}

const (
	// Parts of a frame that are allocated before their bytes arrive.
	firstPartBytes = 128 << 10
	maxFramePart   = 1 << 20
	uncountedBytes = 2 << 10
)

// heldBytes returns what the account of a connection holds for a frame. Small frames are not counted, for
// speed: a connection reads one at a time, and the goroutine that handles it counts for more.
func heldBytes(length int) int64 {
	if length <= uncountedBytes {
		return 0
	}
	return int64(length)
}

// readFrame reads a frame and records its arrival part by part. Memory grows with the bytes that have
// arrived, not with the length that the other side announces. The account of the connection holds the
// frame until the caller releases it.
func readFrame(stream *bufio.Reader, a *arrival) ([]byte, error) {
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return nil, err
	}
	if length > MaxMessageBytes {
		return nil, fmt.Errorf("message of %d bytes is above the limit of %d", length, MaxMessageBytes)
	}
	var parts [][]byte // that have arrived, if the frame is larger than one
	arrived, size := 0, int(min(length, firstPartBytes))
	for {
		if !a.account.Reserve(heldBytes(size)) {
			return nil, ErrClosed
		}
		part := make([]byte, size)
		if err := readPart(stream, a, part, arrived+size < int(length)); err != nil {
			return nil, err
		}
		if arrived += size; arrived == int(length) {
			if parts == nil {
				return part, nil
			}
			return joinParts(append(parts, part), arrived, a), nil
		}
		parts = append(parts, part)
		size = min(arrived, maxFramePart, int(length)-arrived)
	}
}

// readPart reads a part of a frame that others follow, if isFollowed.
func readPart(stream *bufio.Reader, a *arrival, part []byte, isFollowed bool) error {
	for read := 0; read < len(part); {
		n, err := stream.Read(part[read:])
		read += n
		incomplete := isFollowed || read < len(part)
		if incomplete && err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
		a.record(incomplete)
	}
	return nil
}

// joinParts returns the frame of length bytes that consists of parts. The account holds it in their place.
func joinParts(parts [][]byte, length int, a *arrival) []byte {
	data := make([]byte, 0, length)
	held := heldBytes(length)
	for i, part := range parts {
		data = append(data, part...)
		held -= heldBytes(len(part))
		parts[i] = nil
	}
	a.account.Hold(held)
	return data
}

// parseMessage splits a message into its parts without decoding them: decoding a message generically
// costs several times as much as decoding its parts into their types once.
func parseMessage(data []byte) (message, error) {
	var m message
	s := scanner{data: data}
	if !s.accept('{') {
		return m, s.errorf("a message is an object")
	}
	for first := true; !s.accept('}'); first = false {
		if !first && !s.accept(',') {
			return m, s.errorf("no comma between members")
		}
		name, err := s.name()
		if err != nil {
			return m, err
		}
		if !s.accept(':') {
			return m, s.errorf("no colon after a name")
		}
		value, err := s.value()
		if err != nil {
			return m, err
		}
		switch name {
		case "id":
			m.id = value
		case "method":
			if err := json.Unmarshal(value, &m.method); err != nil {
				return m, fmt.Errorf("decode method: %w", err)
			}
		case "params":
			m.params = value
		case "result":
			m.result = value
		case "error":
			m.err = value
		}
	}
	if s.space(); s.at != len(data) {
		return m, s.errorf("data after the message")
	}
	if string(m.id) == "null" {
		m.id = nil
	}
	if m.method == "" && m.result == nil && m.err == nil {
		return m, errors.New("message is neither a request nor an answer")
	}
	m.decodedBytes = int64(s.nested)*nestedBytes + int64(s.elements)*elementBytes
	return m, nil
}

// Memory of decoded values, about that of the types of package messenger.
const (
	nestedBytes  = 128
	elementBytes = 32
)

// scanner finds the ends of JSON values. It does not check what is inside them.
type scanner struct {
	data     []byte
	at       int
	nested   int // objects and arrays
	elements int // of objects and arrays, but the first of each
}

func (s *scanner) errorf(text string) error {
	return fmt.Errorf("message, byte %d: %s", s.at, text)
}

func (s *scanner) space() {
	for s.at < len(s.data) && (s.data[s.at] == ' ' || s.data[s.at] == '\t' || s.data[s.at] == '\n' || s.data[s.at] == '\r') {
		s.at++
	}
}

// accept skips c, if it is next after white space.
func (s *scanner) accept(c byte) bool {
	s.space()
	if s.at < len(s.data) && s.data[s.at] == c {
		s.at++
		return true
	}
	return false
}

// value returns the next value.
func (s *scanner) value() ([]byte, error) {
	s.space()
	start, depth := s.at, 0
	for s.at < len(s.data) {
		switch c := s.data[s.at]; c {
		case '"':
			if !s.skipString() {
				return nil, s.errorf("a text does not end")
			}
			if depth == 0 {
				return s.data[start:s.at], nil
			}
			continue
		case '{', '[':
			depth++
			s.nested++
		case '}', ']', ',', ':', ' ', '\t', '\n', '\r':
			if depth == 0 { // after a number, true, false or null
				if s.at == start {
					return nil, s.errorf("no value")
				}
				return s.data[start:s.at], nil
			}
			switch c {
			case ',':
				s.elements++
			case '}', ']':
				if depth--; depth == 0 {
					s.at++
					return s.data[start:s.at], nil
				}
			}
		}
		s.at++
	}
	return nil, s.errorf("a value does not end")
}

// name returns the next value, which is the name of a member.
func (s *scanner) name() (string, error) {
	quoted, err := s.value()
	if err != nil {
		return "", err
	}
	if n := len(quoted); n >= 2 && quoted[0] == '"' && bytes.IndexByte(quoted, '\\') < 0 {
		return string(quoted[1 : n-1]), nil
	}
	var name string
	if err := json.Unmarshal(quoted, &name); err != nil {
		return "", fmt.Errorf("decode name: %w", err)
	}
	return name, nil
}

func (s *scanner) skipString() bool {
	for s.at++; s.at < len(s.data); s.at++ {
		switch s.data[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return true
		}
	}
	return false
}

// arrival tells whether a message is arriving on a connection. It is safe for concurrent use.
type arrival struct {
	account  *limiter.Account // holds what has arrived
	mu       sync.Mutex
	arriving bool // a part of a message has arrived and a part of it is missing
	latest   time.Time
}

func (a *arrival) record(incomplete bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if incomplete || a.arriving {
		a.arriving, a.latest = incomplete, time.Now()
	}
}

// quiet returns the time since the latest part of the message that is arriving, if one is.
func (a *arrival) quiet() (quiet time.Duration, arriving bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Since(a.latest), a.arriving
}
