package connector

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
)

// MaxMessageBytes limits the size of a message, so that a corrupt length prefix can't
// make the reader allocate unbounded memory.
const MaxMessageBytes = 24 << 20

// codec is the varint framing of jsonrpc2 with a limit of MaxMessageBytes.
type codec struct{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (codec) WriteObject(stream io.Writer, obj any) error {
	data, err := encode(obj)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	if len(data) > MaxMessageBytes {
		return fmt.Errorf("message of %d bytes is above the limit of %d", len(data), MaxMessageBytes)
	}
	var length [binary.MaxVarintLen64]byte
	if _, err := stream.Write(length[:binary.PutUvarint(length[:], uint64(len(data)))]); err != nil {
		return err
	}
	_, err = stream.Write(data)
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (codec) ReadObject(stream *bufio.Reader, v any) error {
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if length > MaxMessageBytes {
		return fmt.Errorf("message of %d bytes is above the limit of %d", length, MaxMessageBytes)
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(stream, data); err != nil {
		return err
	}
	return decode(data, v)
}

// encode and decode call the marshal methods of the library's messages directly. json.Marshal
// and json.Unmarshal would scan the whole message once more to validate what these methods
// return and receive, which is a quarter of the cost of a message.
func encode(obj any) ([]byte, error) {
	if m, ok := obj.(json.Marshaler); ok {
		return m.MarshalJSON()
	}
	return json.Marshal(obj)
}

func decode(data []byte, v any) error {
	if u, ok := v.(json.Unmarshaler); ok {
		return u.UnmarshalJSON(data)
	}
	return json.Unmarshal(data, v)
}
