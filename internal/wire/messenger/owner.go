package messenger

import (
	"fmt"

	"bamboospread/internal/store/decoder"
)

// DecodeOwner decodes the record of a cell's owner whole or not at all. The epoch is 0 while the owner takes over.
// The error is a decoder.ErrField.
func DecodeOwner(value []byte, cell string) (CellOwner, error) {
	o, err := decoder.Decode[CellOwner](value)
	problem := func(field, format string, args ...any) (CellOwner, error) {
		return CellOwner{}, decoder.ErrField{Field: field, Problem: fmt.Sprintf(format, args...)}
	}
	switch {
	case err != nil:
		return CellOwner{}, err
	case o.Cell != cell:
		return problem("cell", "%.100q is not that of the key", o.Cell)
	case o.Epoch < 0:
		return problem("epoch", "%d is negative", o.Epoch)
	case o.EntryID == "":
		return problem("entry-id", "missing")
	case o.Address == "":
		return problem("address", "missing")
	}
	return o, nil
}
