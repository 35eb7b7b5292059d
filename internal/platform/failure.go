package platform

import (
	"errors"

	"pulleyquay/internal/result"
)

// Failure converts an error of a Store into a result with a code for a reply. Only
// ErrUnavailable guarantees that nothing took effect; after an unrecognized error the
// outcome is unknown. It returns nil for a nil error.
func Failure(err error) *result.Error {
	var coded *result.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &coded):
		return coded
	case errors.Is(err, ErrRefused):
		return result.New(result.StoreRefused, result.RanNo, "%v", err)
	case errors.Is(err, ErrUnavailable):
		return result.New(result.StoreUnavailable, result.RanNo, "%v", err)
	case errors.Is(err, ErrLeaseGone):
		return result.New(result.StoreLeaseGone, result.RanNo, "%v", err)
	case errors.Is(err, ErrCompacted):
		return result.New(result.StoreCompacted, result.RanNo, "%v", err)
	default:
		return result.New(result.StoreOutcomeUnknown, result.RanUnknown, "%v", err)
	}
}
