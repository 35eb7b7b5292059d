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
		b.Earn(percent)
		if b.Spend() {
			retries++
		}
	}
	is.Equal(retries, 10+requests*percent/100-1) // the initial burst plus 10 % of the requests, less the retry not fully credited
	is.True(!b.Spend())
}
