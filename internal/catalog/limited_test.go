package catalog

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pulleyquay/internal/fairshare"
)

// TestNumbersOfAnotherMember guards against a catalog of another member whose numbers are none: with a weight of NaN no
// order of accounts is one, and an overflowing time is negative.
func TestNumbersOfAnotherMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		float := rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), math.Inf(-1), math.Copysign(0, -1), 1e308}))
		number := rapid.OneOf(rapid.Int64(), rapid.SampledFrom([]int64{math.MaxInt64, math.MinInt64, -1, 0}))
		sent := Catalog{
			FormatVersion: CurrentFormatVersion,
			Queues: []Queue{{Name: "q", TimeoutMillis: number.Draw(t, "timeout"), Rules: Rules{
				Priority: int(number.Draw(t, "priority")), MaxAttempts: int(number.Draw(t, "attempts")), CriticalPathFactor: float.Draw(t, "factor"),
				TargetMillis: number.Draw(t, "target"), PolicyQuery: &PolicyQuery{float.Draw(t, "decide"), float.Draw(t, "each"), number.Draw(t, "valid")},
			}}},
			Accounts: []Account{{Name: "a", Weight: float.Draw(t, "weight"), Quota: fairshare.Quota{MilliCPU: number.Draw(t, "quota"), MemoryMiB: -1, Accelerators: 0}}},
		}
		value, err := cbor.Marshal(Reply{Catalog: &sent})
		if err != nil {
			t.Fatal(err)
		}
		var reply Reply
		if err := cbor.Unmarshal(value, &reply); err != nil {
			t.Fatal(err)
		}
		reply.Catalog.Index()
		rules, account := reply.Catalog.Queues[0].Rules, reply.Catalog.Account("a")
		target := time.Duration(rules.CriticalPathFactor*float64(365*24*time.Hour)) + time.Duration(rules.TargetMillis)*time.Millisecond
		query := rules.PolicyQuery.QueryDuration(100)
		if target < 0 || query < 0 || query > 100*365*24*time.Hour || rules.PolicyQuery.TicketTTL() < 0 || rules.Priority < 0 || rules.MaxAttempts < 0 {
			t.Fatalf("%+v %+v", rules, *rules.PolicyQuery)
		}
		if w := reply.Catalog.WeightOf("a"); !(w > 0 && w <= maxWeight) {
			t.Fatalf("weight %g", w)
		}
		if q := account.Quota; q.MilliCPU < -1 || q.MilliCPU+q.MilliCPU < -2 || q.MemoryMiB != -1 || q.Accelerators != 0 {
			t.Fatalf("%+v", q)
		}
	})
}

// TestOrdinaryNumbersStay: limits are for numbers that no operator means.
func TestOrdinaryNumbersStay(t *testing.T) {
	is := is.New(t)
	rules := Rules{Priority: 2, MaxAttempts: 4, CriticalPathFactor: 1.5, TargetMillis: 250, PolicyQuery: &PolicyQuery{40, 2.5, 1500}}
	is.Equal(rules.Limited(), rules)
	is.Equal(Rules{}.Limited(), Rules{})
}
