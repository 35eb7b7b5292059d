package settings

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"pulleyquay/internal/platform/memstore"
)

// sizes are the branch counts at which each benchmark runs.
var sizes = []int{100, 1000, 10000}

// fileOf returns, in the file format, a tree of n branches with 100 children per parent and two overrides each.
func fileOf(n int) []byte {
	var b strings.Builder
	b.WriteString(`{"/":{}`)
	for i := range n {
		if i%100 == 0 {
			fmt.Fprintf(&b, `,"/g%d":{}`, i/100)
		}
		fmt.Fprintf(&b, `,"/g%d/t%d":{"quota":{"milli_cpu":%d},"task":{"priority":%d}}`, i/100, i, 1000+i, i%10)
	}
	b.WriteString("}")
	return []byte(b.String())
}

func treeOf(b *testing.B, n int) *Tree {
	b.Helper()
	tree, err := Parse(fileOf(n))
	if err != nil {
		b.Fatal(err)
	}
	return tree
}

func perSize(b *testing.B, fn func(b *testing.B, n int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("branches=%d", n), func(b *testing.B) { fn(b, n) })
	}
}

func BenchmarkEffective(b *testing.B) {
	perSize(b, func(b *testing.B, n int) {
		tree := treeOf(b, n)
		path := fmt.Sprintf("/g%d/t%d", (n-1)/100, n-1)
		b.ReportAllocs()
		for b.Loop() {
			if _, err := tree.Effective(path); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkMemory reports the heap bytes of a parsed tree and its stored bytes, both per branch.
func BenchmarkMemory(b *testing.B) {
	perSize(b, func(b *testing.B, n int) {
		file := fileOf(n)
		var heapBytes, stored float64
		for b.Loop() {
			before := heap()
			tree, err := Parse(file)
			if err != nil {
				b.Fatal(err)
			}
			heapBytes = float64(heap()-before) / float64(n)
			stored = float64(tree.rootNode().bytes) / float64(n)
			runtime.KeepAlive(tree)
		}
		b.ReportMetric(heapBytes, "heapB/branch")
		b.ReportMetric(stored, "storedB/branch")
	})
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkApply measures how long a process takes to apply an accepted change of one branch that it received
// from its watch.
func BenchmarkApply(b *testing.B) {
	perSize(b, func(b *testing.B, n int) {
		tree := treeOf(b, n)
		replica := newReplica()
		replica.activateLocked(Head{Revision: 1, Root: tree.RootHash()}, 0, tree.rootNode())
		path := fmt.Sprintf("/g%d/t%d", (n-1)/100, n-1)
		b.ReportAllocs()
		for b.Loop() {
			b.StopTimer()
			s := replica.snapshot()
			o, err := ParseOverrides(fmt.Appendf(nil, `{"task":{"priority":%d}}`, s.tree.Revision%1000))
			if err != nil {
				b.Fatal(err)
			}
			root, fresh, err := s.tree.applyEdits([]Edit{{Path: path, Overrides: &o}})
			if err != nil {
				b.Fatal(err)
			}
			for _, node := range fresh {
				replica.addToPool(node.hash, node.encode())
			}
			b.StartTimer()
			if missing, err := replica.apply(Head{Revision: s.tree.Revision + 1, Root: root.hash}, 0, nil); err != nil || len(missing) > 0 {
				b.Fatal(err, missing)
			}
		}
	})
}

// BenchmarkChange measures a complete change of one branch at a placer with an in-memory store: validation,
// hashing and one transaction. It reports store calls and bytes written.
func BenchmarkChange(b *testing.B) {
	perSize(b, func(b *testing.B, n int) {
		engine := memstore.New()
		store := &countingStore{Client: engine.Client("bench")}
		m := NewManager(ManagerConfig{Store: store, Log: discardLog()})
		ctx := context.Background()
		if _, err := m.refresh(ctx); err != nil {
			b.Fatal(err)
		}
		if _, err := m.Change(ctx, edit(0, string(fileOf(n)))); err != nil {
			b.Fatal(err)
		}
		path := fmt.Sprintf("/g%d/t%d", (n-1)/100, n-1)
		store.calls.Store(0)
		store.bytes.Store(0)
		b.ReportAllocs()
		for b.Loop() {
			change := edit(m.Revision(), fmt.Sprintf(`{%q:{"task":{"priority":%d}}}`, path, m.Revision()%1000))
			if _, err := m.Change(ctx, change); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(store.calls.Load())/float64(b.N), "storecalls/op")
		b.ReportMetric(float64(store.bytes.Load())/float64(b.N), "storeB/op")
	})
}

// BenchmarkLoad measures a first change that creates all branches.
func BenchmarkLoad(b *testing.B) {
	perSize(b, func(b *testing.B, n int) {
		file := string(fileOf(n))
		var calls int64
		for b.Loop() {
			store := &countingStore{Client: memstore.New().Client("bench")}
			m := NewManager(ManagerConfig{Store: store, Log: discardLog()})
			if _, err := m.Change(context.Background(), edit(0, file)); err != nil {
				b.Fatal(err)
			}
			calls = store.calls.Load()
		}
		b.ReportMetric(float64(calls), "storecalls/op")
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/branch")
	})
}
