// Package forwarder brings calls to the owner of a cell, wherever it runs.
package forwarder

import (
	"context"
	"encoding/json"
	"fmt"

	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// Config holds the seams of a Forwarder.
type Config struct {
	EntryID string
	Owner   func(cell string) (messenger.CellOwner, bool)
	// Local answers when this process is the owner.
	Local func(ctx context.Context, method string, params json.RawMessage) (any, error)
	// Call calls another entry at its RPC address.
	Call func(ctx context.Context, address, method string, params, result any) error
}

// Forwarder is safe for concurrent use.
type Forwarder struct{ config Config }

// New returns a Forwarder.
func New(c Config) *Forwarder { return &Forwarder{config: c} }

// CallCell calls a cell/* method at the owner and decodes the answer into
// result, a pointer. A connector.Error with CodeUnavailable or CodeNotOwner
// means that nothing was done; an error without a code, that it is not known.
func (f *Forwarder) CallCell(ctx context.Context, cell, method string, params, result any) error {
	owner, ok := f.config.Owner(cell)
	if !ok {
		return connector.Errorf(messenger.CodeUnavailable, "cell %s has no owner now", cell)
	}
	if owner.EntryID != f.config.EntryID {
		return f.config.Call(ctx, owner.Address, method, params, result)
	}
	encoded, err := json.Marshal(params)
	if err != nil {
		return connector.Errorf(messenger.CodeBadRequest, "encode %s: %v", method, err)
	}
	answer, err := f.config.Local(ctx, method, encoded)
	if err != nil {
		return err
	}
	return copyAnswer(answer, result)
}

// copyAnswer moves a local answer by the same encoding that it has on the wire,
// so that both ways behave alike.
func copyAnswer(answer, result any) error {
	encoded, err := json.Marshal(answer)
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	if err := json.Unmarshal(encoded, result); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}
