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

func noUsage(string) spec.Resources { return spec.Resources{} }

func TestReserve(t *testing.T) {
	quota := Quota{MilliCPU: 10, MemoryMiB: -1, Accelerators: 0}
	cases := []struct {
		name  string
		size  spec.Resources
		tasks int
		code  result.Code
	}{
		{"fits exactly", spec.Resources{MilliCPU: 3}, 2, 0},
		{"memory is unlimited", spec.Resources{MemoryMiB: 1 << 40}, 1, 0},
		{"used by another job", spec.Resources{MilliCPU: 7}, 1, result.QuotaExceeded},
		{"larger than the quota", spec.Resources{MilliCPU: 11}, 1, result.QuotaTooSmall},
		{"none allowed", spec.Resources{Accelerators: 1}, 1, result.QuotaTooSmall},
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
			is.Equal(l.Used("team"), spec.Resources{MilliCPU: 4}) // no partial reservation
		})
	}
}

// TestQuotaHolds compares random reservations and releases, some of them repeated, with sums
// that the test keeps itself.
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
				maxTasks := l.MaxTasks("team", quota, size(job), n)
				err := l.Reserve("team", job, quota, size(job), n)
				if (err == nil) != (maxTasks == n) {
					t.Fatalf("MaxTasks returned %d of %d, but Reserve returned %v", maxTasks, n, err)
				}
				if err == nil {
					held[job] += n
				}
			},
			"release": func(t *rapid.T) {
				job, n := jobs.Draw(t, "job"), rapid.IntRange(1, 12).Draw(t, "n")
				if got := l.Release("team", job, n); got != min(n, held[job]) {
					t.Fatalf("released %d, want %d", got, held[job])
				}
				held[job] -= min(n, held[job])
			},
			"": func(t *rapid.T) {
				if l.Used("team") != sum() || quota.Exceeds(sum()) != "" {
					t.Fatalf("ledger has %v, the test %v", l.Used("team"), sum())
				}
			},
		})
	})
}

func entry(job, team string, pending int) Entry {
	return Entry{Job: job, Team: team, Size: one, Pending: pending, WaitingSince: start}
}

func TestRoundSharesBetweenTeams(t *testing.T) {
	is := is.New(t)
	q := NewQueue(Config{AgeAfter: time.Hour, AgedEvery: 8, Batch: 10})
	q.Put(entry("big", "a", 1000))
	q.Put(entry("also", "b", 1000))
	q.Put(entry("small", "c", 10))
	tasks := map[string]int{}
	for _, p := range q.Round(start, 200, total, noUsage) {
		tasks[p.Job] += p.Tasks
	}
	is.Equal(tasks, map[string]int{"big": 100, "also": 90, "small": 10})

	used := func(team string) spec.Resources { return map[string]spec.Resources{"a": one.Times(500)}[team] }
	is.Equal(q.Round(start, 10, total, used)[0].Job, "also") // team a already uses much
}

// TestOldBacklogKeepsShares checks that a team with much more and older work does not get more
// than its share when all work is aged.
func TestOldBacklogKeepsShares(t *testing.T) {
	is := is.New(t)
	q := NewQueue(DefaultConfig())
	for i := range 10 {
		e := entry(fmt.Sprint("old", i), "a", 1000)
		e.WaitingSince = start.Add(-time.Hour)
		q.Put(e)
	}
	e := entry("late", "b", 10000)
	e.WaitingSince = start.Add(-2 * time.Minute)
	q.Put(e)
	tasks := map[bool]int{}
	for _, p := range q.Round(start, 6400, total, noUsage) {
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
		{"older first", func(a, b *Entry) { b.WaitingSince = start.Add(-time.Second) }, "b"},
		{"higher priority first", func(a, b *Entry) { b.Priority, a.WaitingSince = 1, start.Add(-time.Second) }, "b"},
		{"urgent before priority", func(a, b *Entry) { b.Urgent, a.Priority = true, 9 }, "b"},
		{"aged before priority", func(a, b *Entry) { b.WaitingSince, a.Priority = start.Add(-time.Minute), 9 }, "b"},
		{"urgent before aged", func(a, b *Entry) { a.Urgent, b.WaitingSince = true, start.Add(-time.Hour) }, "a"},
		{"in backoff", func(a, b *Entry) { a.NotBefore = start.Add(time.Millisecond) }, "b"},
		{"backoff has ended", func(a, b *Entry) { a.NotBefore = start }, "a"},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a, b := entry("a", "team", 1), entry("b", "team", 1)
			tt.change(&a, &b)
			q := NewQueue(DefaultConfig())
			q.Put(a)
			q.Put(b)
			is.Equal(q.Round(start, 1, total, noUsage)[0].Job, tt.first)
		})
	}
}

func TestGangsArePickedWhole(t *testing.T) {
	is := is.New(t)
	q := NewQueue(DefaultConfig())
	e := entry("gang", "a", 500)
	e.AllOrNothing = true
	q.Put(e)
	is.Equal(q.Round(start, 10, total, noUsage), []Pick{{Job: "gang", Tasks: 500}})
}

// TestNothingWaitsForEver checks that a job is picked within the configured ageing bounds while
// urgent jobs keep arriving and each round has budget for one task only.
func TestNothingWaitsForEver(t *testing.T) {
	is := is.New(t)
	q := NewQueue(DefaultConfig())
	q.Put(entry("waiting", "a", 1))
	now := start
	for i := range 1000 {
		e := entry(fmt.Sprint("urgent", i), "b", 1)
		e.Urgent, e.WaitingSince = true, now
		q.Put(e)
		for _, p := range q.Round(now, 1, total, noUsage) {
			if p.Job == "waiting" {
				is.True(now.Sub(start) <= DefaultConfig().AgeAfter+time.Duration(DefaultConfig().AgedEvery)*time.Second)
				return
			}
			q.Remove(p.Job)
		}
		now = now.Add(time.Second)
	}
	t.Fatal("the waiting job was not picked in 1000 rounds")
}

// TestGangsNeitherDeadlockNorStarve runs gangs that each reserve every holder, one holder at a time,
// with the steps of different gangs in random order, and checks that all of them start.
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
		for remaining := gangs; remaining > 0; now += 10 * time.Millisecond {
			if now > 5*time.Minute {
				t.Fatalf("%d gangs not started after %v: %+v", remaining, now, states)
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
					remaining--
					clear(owner) // the gang ran and ended
				}
			}
		}
	})
}

// BenchmarkRound measures the ordering of 1,024 tasks among the waiting jobs of 35 teams. The
// largest number of waiting jobs is the number that one of 16 partitions would own.
func BenchmarkRound(b *testing.B) {
	for _, jobs := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(jobs, "-jobs"), func(b *testing.B) {
			q := NewQueue(DefaultConfig())
			for i := range jobs {
				e := entry(fmt.Sprint("job", i), fmt.Sprint("team", i%35), 1+i%200)
				e.WaitingSince = start.Add(time.Duration(i) * time.Second)
				q.Put(e)
			}
			b.ReportAllocs()
			for b.Loop() {
				if len(q.Round(start, 1024, total, noUsage)) == 0 {
					b.Fatal("nothing picked")
				}
			}
		})
	}
}
