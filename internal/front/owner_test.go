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

// TestJobsOfOtherAccountsAreUnknown: a job can be read and cancelled only with a key of its own
// account, whether the holder, a holder of the previous version, or only the store answers. Other
// accounts get JobUnknown, so that the job's existence is not disclosed.
func TestJobsOfOtherAccountsAreUnknown(t *testing.T) {
	const id = "00000000000000aa"
	crew, other, nobody := callerOf("crew", fairshare.Unlimited), callerOf("other", fairshare.Unlimited), Caller{}
	cases := map[string]func(b *fixture){
		"the holder answers":               func(*fixture) {},
		"a holder of the previous version": func(b *fixture) { b.holder.oldVersion = true },
		"the holder is unreachable":        func(b *fixture) { b.holder.unreachable = true },
		"the holder does not know the job": func(b *fixture) { delete(b.holder.notified, id) },
		"the job has ended in the store":   func(b *fixture) { b.holder.unreachable = true; b.storeEnded(id, "crew") },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(t)
				is.NoErr(b.Submit(t.Context(), crew, queue, id, graph))
				time.Sleep(time.Second)
				synctest.Wait()
				change(b)
				for _, by := range []Caller{other, nobody} {
					_, err := b.State(t.Context(), by, queue, id)
					is.Equal(b.holder.oldVersion && by.Account == nil || result.CodeOf(err) == result.JobUnknown, true)
				}
				s, err := b.State(t.Context(), crew, queue, id)
				is.NoErr(err)
				is.True(s != "")
				if !b.holder.oldVersion {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					err = b.Cancel(ctx, other, queue, id)
					cancel()
					is.True(err != nil)
					is.Equal(len(b.holder.cancelled), 0)
				}
				time.Sleep(2 * notifyPeriod)
			})
		})
	}
}

// storeEnded writes the record of an ended job to the store.
func (b *fixture) storeEnded(id, account string) {
	value, err := record.Encode(record.Job{ID: id, Ended: record.StateCompleted, Account: account})
	if err != nil {
		panic(err)
	}
	b.store.Put(platform.Write{Key: record.JobKey(0, id), Value: value})
}

// TestOwnersOfRecords: jobs written by versions without accounts, and jobs of public queues, are
// open to all callers.
func TestOwnersOfRecords(t *testing.T) {
	is := is.New(t)
	is.True((&record.Job{}).AccessibleTo(""))
	is.True((&record.Job{}).AccessibleTo("crew"))
	is.True((&record.Job{Account: "crew"}).AccessibleTo("crew"))
	is.True(!(&record.Job{Account: "crew"}).AccessibleTo("other"))
	is.True(!(&record.Job{Account: "crew"}).AccessibleTo(""))
}

// TestJobIDBelongsToOneAccount: a job submitted under the id of another account's job is refused.
// Submitted again by its own account it stays one job.
func TestJobIDBelongsToOneAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t)
		const id = "00000000000000aa"
		is.NoErr(b.Submit(t.Context(), callerOf("crew", fairshare.Unlimited), queue, id, graph))
		is.NoErr(b.Submit(t.Context(), callerOf("crew", fairshare.Unlimited), queue, id, graph))
		err := b.Submit(t.Context(), callerOf("other", fairshare.Unlimited), queue, id, graph)
		is.Equal(result.CodeOf(err), result.JobNameTaken)
		is.Equal(result.From(err).Ran, result.RanNo)
		b.store.Client("a").SetFaults(memstore.Faults{})
		time.Sleep(2 * notifyPeriod)
		synctest.Wait()
		is.Equal(b.holder.notified[id], 1)
	})
}

// TestJobOverQuotaIsRefusedAtOnce: a job that its quota can never hold would wait forever. The
// refusal names the figures that do not fit, and nothing is stored.
func TestJobOverQuotaIsRefusedAtOnce(t *testing.T) {
	size := spec.Resources{MilliCPU: 1000, MemoryMiB: 10}
	quota := fairshare.Quota{MilliCPU: 4000, MemoryMiB: -1, Accelerators: 0}
	cases := map[string]struct {
		step   spec.Step
		detail string // empty: accepted
	}{
		"a gang that fits":                  {spec.Step{Count: 4, Size: size, Gang: true}, ""},
		"a gang that is too wide":           {spec.Step{Count: 5, Size: size, Gang: true}, "milli_cpu: 5000 of 4000"},
		"a step that runs in parts":         {spec.Step{Count: 500, Size: size}, ""},
		"a task that is too large":          {spec.Step{Count: 1, Size: spec.Resources{MilliCPU: 4001}}, "milli_cpu: 4001 of 4000"},
		"a resource with quota zero":        {spec.Step{Count: 1, Size: spec.Resources{Accelerators: 1}}, "accelerators: 1 of 0"},
		"an unlimited resource":             {spec.Step{Count: 1, Size: spec.Resources{MemoryMiB: 1 << 30}}, ""},
		"a backfill task that is too large": {spec.Step{Count: 1, Backfill: true, Size: spec.Resources{MilliCPU: 9000}}, "milli_cpu: 9000 of 4000"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(t)
				steps := []spec.Step{{Count: 1, Size: size}, tc.step}
				err := b.Submit(t.Context(), callerOf("crew", quota), queue, "00000000000000aa", spec.Graph{Steps: steps})
				time.Sleep(time.Second)
				if tc.detail == "" {
					is.NoErr(err)
					return
				}
				e := result.From(err)
				is.Equal(e.Code, result.AccountQuotaSmall)
				is.Equal(e.Ran, result.RanNo)
				is.Equal(e.Field, "steps[1]")
				is.True(strings.Contains(e.Detail, tc.detail))
				is.True(!b.stored(t, "00000000000000aa"))
			})
		})
	}
}
