package holder

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"pulleyquay/internal/engine"
	"pulleyquay/internal/ledger"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/record"
	"pulleyquay/internal/spec"
)

func mustEncode(t *testing.T, v any) []byte {
	t.Helper()
	value, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// oddJobs are job records that no version of this program accepts.
func oddJobs(t *testing.T) map[string][]byte {
	encode := func(change func(*record.Job)) []byte {
		j := record.Job{Queue: "q", Service: "s", Graph: spec.Graph{Steps: []spec.Step{{Count: 1}, {Count: 1}}}}
		change(&j)
		return mustEncode(t, j)
	}
	nested := []byte{0xf6}
	for range 100 {
		nested = append([]byte{0x81}, nested...)
	}
	return map[string][]byte{
		"negative-count":        encode(func(j *record.Job) { j.Graph.Steps[0].Count = -1 }),
		"huge-count":            encode(func(j *record.Job) { j.Graph.Steps[0].Count = 1 << 60 }),
		"huge-repetitions":      encode(func(j *record.Job) { j.Graph.Repeat.Times = 1 << 40 }),
		"unknown-step":          encode(func(j *record.Job) { j.Graph.Steps[1].After = []int{7} }),
		"negative-step":         encode(func(j *record.Job) { j.Graph.Steps[1].After = []int{-1} }),
		"later-step":            encode(func(j *record.Job) { j.Graph.Steps[0].After = []int{1} }),
		"no-steps":              encode(func(j *record.Job) { j.Graph.Steps = nil }),
		"huge-size":             encode(func(j *record.Job) { j.Graph.Steps[0].Size.MilliCPU = 1 << 62 }),
		"unknown-state":         encode(func(j *record.Job) { j.Ended = "paused" }),
		"negative-acceptance":   encode(func(j *record.Job) { j.AcceptedUnixMilli = -1 << 62 }),
		"another-type":          mustEncode(t, map[int]any{5: "no graph"}),
		"nested":                nested,
		"nested-in-a-new-field": mustEncode(t, map[int]any{5: spec.Graph{Steps: []spec.Step{{Count: 1}}}, 99: cbor.RawMessage(nested)}),
		"empty":                 {},
		"text":                  []byte("garbage"),
	}
}

// TestOddJobRecords guards against a process that ends when it becomes the holder, as did each of its successors: a
// record with a number of tasks below zero, or with a step after one that does not exist, ended all of them.
func TestOddJobRecords(t *testing.T) {
	for name, value := range oddJobs(t) {
		for _, when := range []string{"at the takeover", "later"} {
			t.Run(name+" "+when, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					store := memstore.New()
					put := func() { store.Put(platform.Write{Key: record.JobKey(0, name), Value: value}) }
					if when != "later" {
						put()
					}
					storeJob(t, store, record.Job{ID: "good", Queue: "q", Service: "s", Graph: spec.Graph{Steps: []spec.Step{{Count: 1}}}})
					h, out := newHolder(t, store, idleHosts{})
					runHolder(t, h, store, ledger.Predecessor{})
					for range 3 {
						put()
						store.Compact() // the jobs are listed again
						time.Sleep(3 * time.Second)
					}
					h.mu.Lock()
					defer h.mu.Unlock()
					is.True(h.engine.HasJob("good"))
					is.True(!h.engine.HasJob(name))
					is.Equal(strings.Count(out.String(), "cannot decode a record"), 1) // not with each reading
					is.Equal(store.Get(record.JobKey(0, name)), value)                 // another version may know what it is
				})
			})
		}
	}
}

// TestOddJobOfAnotherMember is TestOddJobRecords for a job of which another member notifies the holder.
func TestOddJobOfAnotherMember(t *testing.T) {
	for name, value := range oddJobs(t) {
		t.Run(name, func(t *testing.T) {
			store := memstore.New()
			defer store.Close()
			h, _ := newHolder(t, store, idleHosts{})
			table := &Table{cfg: h.cfg, holders: map[int]*Holder{0: h}}
			var j record.Job
			if cbor.Unmarshal(value, &j) != nil {
				return // such a message is not delivered
			}
			j.ID = name
			_, err := table.onAccepted(t.Context(), JobAccepted{Job: j})
			is.New(t).True(err != nil)
			is.New(t).True(!h.engine.HasJob(name))
		})
	}
}

// TestUnreadableProgressAndWaves: such records cost their job its progress and their rollout its state, and no more.
func TestUnreadableProgressAndWaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := memstore.New()
		for i, value := range [][]byte{
			{}, []byte("garbage"), mustEncode(t, map[int]any{1: "steps"}),
			mustEncode(t, record.Progress{Steps: []record.StepProgress{
				{Occurrence: -1, Step: 1 << 40}, {Occurrence: 1 << 62, Step: 1 << 62},
				{Failed: map[int][]int{-1: {1}, 1 << 40: {1 << 62}}, Placements: map[int][]record.RunOn{-1: {{Run: -1}}}, CurrentRuns: map[int]record.RunOn{7: {Run: 1 << 62}}},
			}, PlacementsListed: true}),
		} {
			id := fmt.Sprint("job-", i)
			storeJob(t, store, record.Job{ID: id, Queue: "q", Service: "s", Graph: spec.Graph{Steps: []spec.Step{{Count: 2}}}})
			store.Put(platform.Write{Key: record.ProgressKey(0, id), Value: value}, platform.Write{Key: record.WaveKey(0, int64(i)), Value: value})
		}
		h, _ := newHolder(t, store, idleHosts{})
		runHolder(t, h, store, ledger.Predecessor{})
		h.updateEngine(func(e *engine.Engine, _ time.Time) {
			for i := range 4 {
				is.True(e.HasJob(fmt.Sprint("job-", i)))
			}
		})
	})
}
