package retrybudget

import (
	"testing"

	"github.com/matryer/is"
)

func TestRetriesAreAShareOfRequests(t *testing.T) {
	is := is.New(t)
	b := New()
	const requests, percent = 1000, 10
	retries := 0
	for range requests {
		b.Deposit(percent)
		if b.TryWithdraw() {
			retries++
		}
	}
	is.Equal(retries, 10+requests*percent/100-1) // burst plus 10 %, less one retry not fully credited
	is.True(!b.TryWithdraw())
}
