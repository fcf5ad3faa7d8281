package tracker

import "encoding/hex"

// encodeBitmap returns a hex-encoded bitmap with one bit per task, lowest bit first.
func encodeBitmap(tasks []*Task, set func(*Task) bool) string {
	bits := make([]byte, (len(tasks)+7)/8)
	for i, t := range tasks {
		if set(t) {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return hex.EncodeToString(bits)
}

// bitmap is a decoded bitmap. Bits beyond its length are not set.
type bitmap []byte

func decodeBitmap(text string) (bitmap, error) { return hex.DecodeString(text) }

func (b bitmap) has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }
