// Package forwarder routes calls to the owner of a cell, in this process or another.
package forwarder

import (
	"context"
	"encoding/json"
	"fmt"

	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// Config holds the dependencies of a Forwarder.
type Config struct {
	EntryID string
	Owner   func(cell string) (messenger.CellOwner, bool)
	// Local handles the call if this process is the owner.
	Local func(ctx context.Context, method string, params json.RawMessage) (any, error)
	// Call calls another entry at its RPC address.
	Call func(ctx context.Context, address, method string, params, result any) error
}

// Forwarder is safe for concurrent use.
type Forwarder struct{ config Config }

// New returns a Forwarder.
func New(c Config) *Forwarder { return &Forwarder{config: c} }

// CallCell calls a cell/* method of the owner and decodes the answer into result, a
// pointer. A connector.Error with CodeUnavailable or CodeNotOwner means that nothing
// was done; after an error without a code the outcome is unknown.
func (f *Forwarder) CallCell(ctx context.Context, cell, method string, params, result any) error {
	owner, ok := f.config.Owner(cell)
	if !ok {
		return connector.Errorf(messenger.CodeUnavailable, "cell %s has no known owner", cell)
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

// copyAnswer copies a local answer through its wire encoding, so that local and remote
// calls behave the same.
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
