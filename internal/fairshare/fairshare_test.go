package fairshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	one   = spec.Resources{MilliCPU: 1, MemoryMiB: 1}
	total = spec.Resources{MilliCPU: 1000, MemoryMiB: 1000, Accelerators: 10}
)

func nothing(string) spec.Resources { return spec.Resources{} }

func TestReserve(t *testing.T) {
	quota := Quota{MilliCPU: 10, MemoryMiB: -1, Accelerators: 0}
	cases := []struct {
		name  string
		size  spec.Resources
		tasks int
		code  result.Code
	}{
		{"fits exactly", spec.Resources{MilliCPU: 3}, 2, 0},
		{"no bound on memory", spec.Resources{MemoryMiB: 1 << 40}, 1, 0},
		{"others hold it", spec.Resources{MilliCPU: 7}, 1, result.QuotaExceeded},
		{"larger than the quota", spec.Resources{MilliCPU: 11}, 1, result.QuotaUnset},
		{"none allowed", spec.Resources{Accelerators: 1}, 1, result.QuotaUnset},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := NewLedger()
			is.True(l.Reserve("team", "other", quota, spec.Resources{MilliCPU: 4}, 1) == nil)
			err := l.Reserve("team", "job", quota, tt.size, tt.tasks)
			if tt.code == 0 {
				is.True(err == nil)
				return
			}
			is.Equal(err.Code, tt.code)
			is.Equal(l.Used("team"), spec.Resources{MilliCPU: 4}) // nothing in part
		})
	}
}

// TestQuotaHolds runs random reservations and releases, some of them repeated,
// against sums kept by the test.
func TestQuotaHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger()
		quota := Quota{MilliCPU: 50, MemoryMiB: 80, Accelerators: -1}
		held := map[string]int{}
		size := func(job string) spec.Resources {
			return spec.Resources{MilliCPU: int64(len(job)), MemoryMiB: 3}
		}
		sum := func() (s spec.Resources) {
			for job, n := range held {
				s = s.Add(size(job).Times(int64(n)))
			}
			return s
		}
		jobs := rapid.SampledFrom([]string{"a", "bb", "cccccc"})
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				job, n := jobs.Draw(t, "job"), rapid.IntRange(1, 12).Draw(t, "n")
				room := l.Room("team", quota, size(job), n)
				err := l.Reserve("team", job, quota, size(job), n)
				if (err == nil) != (room == n) {
					t.Fatalf("room for %d of %d, but %v", room, n, err)
				}
				if err == nil {
					held[job] += n
				}
			},
			"release": func(t *rapid.T) {
				job, n := jobs.Draw(t, "job"), rapid.IntRange(1, 12).Draw(t, "n")
				if got := l.Release("team", job, n); got != min(n, held[job]) {
					t.Fatalf("released %d of %d held", got, held[job])
				}
				held[job] -= min(n, held[job])
			},
			"": func(t *rapid.T) {
				if l.Used("team") != sum() || quota.Exceeds(sum()) != "" {
					t.Fatalf("ledger %v, held %v", l.Used("team"), sum())
				}
			},
		})
	})
}

func entry(job, team string, pending int) Entry {
	return Entry{Job: job, Team: team, Size: one, Pending: pending, Since: start}
}

func TestRoundSharesBetweenTeams(t *testing.T) {
	is := is.New(t)
	q := NewQueue(Config{AgeAfter: time.Hour, AgedEvery: 8, Batch: 10})
	q.Put(entry("big", "a", 1000))
	q.Put(entry("also", "b", 1000))
	q.Put(entry("small", "c", 10))
	tasks := map[string]int{}
	for _, p := range q.Round(start, 200, total, nothing) {
		tasks[p.Job] += p.Tasks
	}
	is.Equal(tasks, map[string]int{"big": 100, "also": 90, "small": 10})

	used := func(team string) spec.Resources { return map[string]spec.Resources{"a": one.Times(500)}[team] }
	is.Equal(q.Round(start, 10, total, used)[0].Job, "also") // a holds much already
}

// TestOldBacklogKeepsShares: when everything has waited long, a team with much
// more and older work does not get more than its share.
func TestOldBacklogKeepsShares(t *testing.T) {
	is := is.New(t)
	q := NewQueue(DefaultConfig())
	for i := range 10 {
		e := entry(fmt.Sprint("old", i), "a", 1000)
		e.Since = start.Add(-time.Hour)
		q.Put(e)
	}
	e := entry("late", "b", 10000)
	e.Since = start.Add(-2 * time.Minute)
	q.Put(e)
	tasks := map[bool]int{}
	for _, p := range q.Round(start, 6400, total, nothing) {
		tasks[p.Job == "late"] += p.Tasks
	}
	is.True(tasks[true] >= 6400*2/5)
}

func TestRoundOrder(t *testing.T) {
	cases := []struct {
		name   string
		change func(a, b *Entry)
		first  string
	}{
		{"older first", func(a, b *Entry) { b.Since = start.Add(-time.Second) }, "b"},
		{"higher priority first", func(a, b *Entry) { b.Priority, a.Since = 1, start.Add(-time.Second) }, "b"},
		{"urgent before priority", func(a, b *Entry) { b.Urgent, a.Priority = true, 9 }, "b"},
		{"aged before priority", func(a, b *Entry) { b.Since, a.Priority = start.Add(-time.Minute), 9 }, "b"},
		{"urgent before aged", func(a, b *Entry) { a.Urgent, b.Since = true, start.Add(-time.Hour) }, "a"},
		{"backing off", func(a, b *Entry) { a.NotBefore = start.Add(time.Millisecond) }, "b"},
		{"back from backing off", func(a, b *Entry) { a.NotBefore = start }, "a"},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a, b := entry("a", "team", 1), entry("b", "team", 1)
			tt.change(&a, &b)
			q := NewQueue(DefaultConfig())
			q.Put(a)
			q.Put(b)
			is.Equal(q.Round(start, 1, total, nothing)[0].Job, tt.first)
		})
	}
}

func TestGangsArePickedWhole(t *testing.T) {
	is := is.New(t)
	q := NewQueue(DefaultConfig())
	e := entry("gang", "a", 500)
	e.Whole = true
	q.Put(e)
	is.Equal(q.Round(start, 10, total, nothing), []Pick{{Job: "gang", Tasks: 500}})
}

// TestNothingWaitsForEver floods the queue with urgent work, and gives every
// round room for one task only.
func TestNothingWaitsForEver(t *testing.T) {
	is := is.New(t)
	q := NewQueue(DefaultConfig())
	q.Put(entry("patient", "a", 1))
	now := start
	for i := range 1000 {
		e := entry(fmt.Sprint("urgent", i), "b", 1)
		e.Urgent, e.Since = true, now
		q.Put(e)
		for _, p := range q.Round(now, 1, total, nothing) {
			if p.Job == "patient" {
				is.True(now.Sub(start) <= DefaultConfig().AgeAfter+time.Duration(DefaultConfig().AgedEvery)*time.Second)
				return
			}
			q.Remove(p.Job)
		}
		now = now.Add(time.Second)
	}
	t.Fatal("the patient job was never picked")
}

// TestGangsNeitherDeadlockNorStarve lets gangs that each need every holder try
// to hold them one by one; steps of different gangs come in any order.
func TestGangsNeitherDeadlockNorStarve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holders := HolderOrder([]string{"c", "a", "b", "a"})
		gangs := rapid.IntRange(2, 5).Draw(t, "gangs")
		owner := map[string]int{}
		type state struct {
			held, failed int
			wake         time.Duration
			done         bool
		}
		states := make([]state, gangs)
		var now time.Duration
		for left := gangs; left > 0; now += 10 * time.Millisecond {
			if now > 5*time.Minute {
				t.Fatalf("%d gangs not started after %v: %+v", left, now, states)
			}
			first := rapid.IntRange(0, gangs-1).Draw(t, "first")
			for i := range gangs {
				g := (first + i) % gangs
				s := &states[g]
				if s.done || now < s.wake {
					continue
				}
				h := holders[s.held]
				if by, taken := owner[h]; taken && by != g {
					for _, h := range holders {
						if owner[h] == g {
							delete(owner, h)
						}
					}
					s.held, s.failed = 0, s.failed+1
					s.wake = now + GangBackoff(fmt.Sprint("gang", g), s.failed, now, time.Minute)
					continue
				}
				owner[h] = g
				if s.held++; s.held == len(holders) {
					s.done = true
					left--
					clear(owner) // it ran and ended
				}
			}
		}
	})
}

// BenchmarkRound measures the order of 1,024 tasks among so many waiting jobs of
// 35 teams, as many as a placer of 16 would be home to.
func BenchmarkRound(b *testing.B) {
	for _, jobs := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(jobs, "-jobs"), func(b *testing.B) {
			q := NewQueue(DefaultConfig())
			for i := range jobs {
				e := entry(fmt.Sprint("job", i), fmt.Sprint("team", i%35), 1+i%200)
				e.Since = start.Add(time.Duration(i) * time.Second)
				q.Put(e)
			}
			b.ReportAllocs()
			for b.Loop() {
				if len(q.Round(start, 1024, total, nothing)) == 0 {
					b.Fatal("nothing picked")
				}
			}
		})
	}
}
