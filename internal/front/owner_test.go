package front

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/fairshare"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/record"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
)

func callerOf(name string, q fairshare.Quota) Caller {
	return Caller{Account: &catalog.Account{Name: name, Quota: q}}
}

// TestJobsOfOthersAreNotKnown: a job is read and cancelled with a key of its own account
// only, whoever answers: the holder, a holder of the version before, or the store alone.
// Others are told that there is no such job, so that they do not learn of it.
func TestJobsOfOthersAreNotKnown(t *testing.T) {
	const id = "00000000000000aa"
	crew, other, nobody := callerOf("crew", fairshare.Unlimited), callerOf("other", fairshare.Unlimited), Caller{}
	cases := map[string]func(b *bench){
		"the holder answers":              func(*bench) {},
		"a holder of the version before":  func(b *bench) { b.holder.former = true },
		"the holder is away":              func(b *bench) { b.holder.away = true },
		"the holder knows nothing of it":  func(b *bench) { delete(b.holder.told, id) },
		"it has ended, as the store says": func(b *bench) { b.holder.away = true; b.end(id, "crew") },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(t)
				is.NoErr(b.Submit(t.Context(), crew, queue, id, graph))
				time.Sleep(time.Second)
				synctest.Wait()
				change(b)
				for _, by := range []Caller{other, nobody} {
					_, err := b.State(t.Context(), by, queue, id)
					is.Equal(b.holder.former && by.Account == nil || result.CodeOf(err) == result.JobUnknown, true)
				}
				s, err := b.State(t.Context(), crew, queue, id)
				is.NoErr(err)
				is.True(s != "")
				if !b.holder.former {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					err = b.Cancel(ctx, other, queue, id)
					cancel()
					is.True(err != nil)
					is.Equal(len(b.holder.cancelled), 0)
				}
				time.Sleep(2 * tellFor)
			})
		})
	}
}

// end has the store hold a job as one that has ended.
func (b *bench) end(id, account string) {
	value, err := record.Encode(record.Job{ID: id, Ended: record.StateCompleted, Account: account})
	if err != nil {
		panic(err)
	}
	b.store.Put(platform.Write{Key: record.JobKey(0, id), Value: value})
}

// TestOwnersOfRecords: jobs of versions that knew no accounts, and of public queues, are open.
func TestOwnersOfRecords(t *testing.T) {
	is := is.New(t)
	is.True((&record.Job{}).Open(""))
	is.True((&record.Job{}).Open("crew"))
	is.True((&record.Job{Account: "crew"}).Open("crew"))
	is.True(!(&record.Job{Account: "crew"}).Open("other"))
	is.True(!(&record.Job{Account: "crew"}).Open(""))
}

// TestNamesAreTakenOnce: a job handed in under the id of another account's is refused, and
// handed in again by its own it stays one.
func TestNamesAreTakenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		const id = "00000000000000aa"
		is.NoErr(b.Submit(t.Context(), callerOf("crew", fairshare.Unlimited), queue, id, graph))
		is.NoErr(b.Submit(t.Context(), callerOf("crew", fairshare.Unlimited), queue, id, graph))
		err := b.Submit(t.Context(), callerOf("other", fairshare.Unlimited), queue, id, graph)
		is.Equal(result.CodeOf(err), result.JobNameTaken)
		is.Equal(result.From(err).Ran, result.RanNo)
		b.store.Client("a").SetFaults(memstore.Faults{})
		time.Sleep(2 * tellFor)
		synctest.Wait()
		is.Equal(b.holder.told[id], 1)
	})
}

// TestWhatAQuotaNeverHoldsIsRefusedAtOnce: it would wait for ever. The caller is told which
// numbers do not fit, and nothing is stored.
func TestWhatAQuotaNeverHoldsIsRefusedAtOnce(t *testing.T) {
	size := spec.Resources{MilliCPU: 1000, MemoryMiB: 10}
	quota := fairshare.Quota{MilliCPU: 4000, MemoryMiB: -1, Accelerators: 0}
	cases := map[string]struct {
		step spec.Step
		says string // empty where it is accepted
	}{
		"a gang that fits":           {spec.Step{Count: 4, Size: size, Gang: true}, ""},
		"a gang that is too wide":    {spec.Step{Count: 5, Size: size, Gang: true}, "milli_cpu: 5000 of 4000"},
		"a step done bit by bit":     {spec.Step{Count: 500, Size: size}, ""},
		"a task that is too large":   {spec.Step{Count: 1, Size: spec.Resources{MilliCPU: 4001}}, "milli_cpu: 4001 of 4000"},
		"what it has nothing of":     {spec.Step{Count: 1, Size: spec.Resources{Accelerators: 1}}, "accelerators: 1 of 0"},
		"what has no bound":          {spec.Step{Count: 1, Size: spec.Resources{MemoryMiB: 1 << 30}}, ""},
		"a filler that is too large": {spec.Step{Count: 1, Filler: true, Size: spec.Resources{MilliCPU: 9000}}, "milli_cpu: 9000 of 4000"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(t)
				steps := []spec.Step{{Count: 1, Size: size}, tc.step}
				err := b.Submit(t.Context(), callerOf("crew", quota), queue, "00000000000000aa", spec.Graph{Steps: steps})
				time.Sleep(time.Second)
				if tc.says == "" {
					is.NoErr(err)
					return
				}
				e := result.From(err)
				is.Equal(e.Code, result.AccountQuotaSmall)
				is.Equal(e.Ran, result.RanNo)
				is.Equal(e.Field, "steps[1]")
				is.True(strings.Contains(e.Detail, tc.says))
				is.True(!b.stored(t, "00000000000000aa"))
			})
		})
	}
}
