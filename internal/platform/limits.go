package platform

import (
	"fmt"
	"unicode/utf8"
)

// Limits of the platform's store. A call that exceeds them fails with ErrRefused.
const (
	// MaxValueBytes is the maximum size of one value.
	MaxValueBytes = 1 << 20
	// MaxTxnOps is the maximum number of conditions of one transaction, and also that of its writes.
	MaxTxnOps = 128
)

// ErrRefused means that the store never accepts the call in this form and that the call did not
// take effect. It wraps ErrUnavailable.
var ErrRefused = fmt.Errorf("%w: refused", ErrUnavailable)

// Check returns ErrRefused if the transaction exceeds the limits or writes a key twice, which
// the store does not allow.
func (t Txn) Check() error {
	if len(t.If) > MaxTxnOps || len(t.Then) > MaxTxnOps {
		return fmt.Errorf("%w: %d conditions and %d writes, at most %d each", ErrRefused, len(t.If), len(t.Then), MaxTxnOps)
	}
	for _, c := range t.If {
		if !utf8.ValidString(c.Key) {
			return fmt.Errorf("%w: key %q is no text", ErrRefused, c.Key)
		}
	}
	written := make(map[string]struct{}, len(t.Then))
	for _, w := range t.Then {
		if w.Key == "" {
			return fmt.Errorf("%w: empty key", ErrRefused)
		}
		if !utf8.ValidString(w.Key) {
			return fmt.Errorf("%w: key %q is no text", ErrRefused, w.Key)
		}
		if _, twice := written[w.Key]; twice {
			return fmt.Errorf("%w: key %q written twice", ErrRefused, w.Key)
		}
		written[w.Key] = struct{}{}
		if len(w.Value) > MaxValueBytes {
			return fmt.Errorf("%w: value of key %q has %d bytes, at most %d", ErrRefused, w.Key, len(w.Value), MaxValueBytes)
		}
	}
	return nil
}
