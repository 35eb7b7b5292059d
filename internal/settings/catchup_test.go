package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// A requester that has a recent tree is sent only the branches that changed since.
func TestAnswerHoldsTheDifference(t *testing.T) {
	inBubble(t, 1, 0, func(is *is.I, c *cell) {
		m := c.managers[0]
		_, err := c.change(0, largeChange())
		is.NoErr(err)
		previous := m.Current()
		_, err = c.change(0, `{"/b7":{"task":{"surge":5}}}`)
		is.NoErr(err)

		root := previous.RootHash()
		is.Equal(len(m.replica.reply(FetchRequest{Have: 1, Root: root[:]}).Branches), 2) // the root and /b7
		all := len(m.Current().Paths())
		is.Equal(len(m.replica.reply(FetchRequest{Have: 1}).Branches), all)                         // without the root's hash
		is.Equal(len(m.replica.reply(FetchRequest{Have: 1, Root: make([]byte, 32)}).Branches), all) // another root
		is.Equal(len(m.replica.reply(FetchRequest{Have: -1, HeadOnly: true}).Branches), 0)
		is.Equal(len(m.replica.reply(FetchRequest{Have: 2}).Head), 0) // nothing newer

		for i := range int64(recentTrees) {
			_, err = c.change(0, fmt.Sprintf(`{"/b7":{"task":{"surge":%d}}}`, i))
			is.NoErr(err)
		}
		is.Equal(len(m.replica.reply(FetchRequest{Have: 1, Root: root[:]}).Branches), all) // too old
	})
}

// An entry must catch up from any number of revisions behind.
func TestFollowerCatchesUp(t *testing.T) {
	inBubble(t, 2, 1, func(is *is.I, c *cell) {
		for _, behind := range []int{1, recentTrees - 1, recentTrees + 3} {
			mux0, mux1 := c.muxOf(0), c.muxOf(1)
			c.network.disconnect(placerAddr(0))
			c.network.disconnect(placerAddr(1))
			time.Sleep(3 * time.Second)
			for i := range behind {
				_, err := c.change(0, fmt.Sprintf(`{"/n%d-%d":{}}`, behind, i))
				is.NoErr(err)
			}
			c.network.connect(placerAddr(0), mux0)
			c.network.connect(placerAddr(1), mux1)
			time.Sleep(propagationLimit)
			is.Equal(c.behind(c.head().Revision), nil)
		}
	})
}

// drawEdits draws edits that set individual settings in a small tree.
func drawEdits(t *rapid.T) []Edit {
	paths := []string{"/a", "/a/x", "/a/x/y", "/b", "/b/z", Root}
	var out []Edit
	for _, path := range paths {
		if rapid.IntRange(0, 2).Draw(t, "edited") == 0 {
			continue
		}
		var parts []string
		for _, s := range []string{`"executor":{"slots":%d}`, `"request":{"queue_limit":%d}`, `"task":{"priority":%d}`} {
			if rapid.Bool().Draw(t, "set") {
				parts = append(parts, fmt.Sprintf(s, rapid.IntRange(1, 64).Draw(t, "value")))
			}
		}
		o, err := ParseOverrides([]byte("{" + strings.Join(parts, ",") + "}"))
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, Edit{Path: path, Overrides: &o})
	}
	return out
}

// Effective values, which are maintained incrementally across changes and shared between trees, must equal the
// overrides applied from the root down. Equal trees must have equal hashes.
func TestEffectiveIsTheSumOfOverrides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := mustParse(t, `{"/a":{},"/a/x":{},"/a/x/y":{},"/b":{},"/b/z":{}}`)
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			next, err := tree.Edited(drawEdits(t), tree.Revision+1, "")
			if err != nil {
				continue // nothing drawn
			}
			tree = next
		}
		branches := tree.Branches()
		for _, path := range slices.Sorted(maps.Keys(branches)) {
			want := branches[Root].Apply(Defaults())
			at := ""
			for _, name := range strings.FieldsFunc(path, func(r rune) bool { return r == '/' }) {
				at += "/" + name
				want = branches[at].Apply(want)
			}
			if got, err := tree.Effective(path); err != nil || got != want {
				t.Fatalf("%s: %v, %v, want %v", path, got, err, want)
			}
		}
		edits := make([]Edit, 0, len(branches))
		for path, o := range branches {
			edits = append(edits, Edit{Path: path, Overrides: &o})
		}
		again, err := Empty().Edited(edits, 1, "")
		if err != nil || again.RootHash() != tree.RootHash() {
			t.Fatalf("rebuilt tree: error %v, or a different root hash", err)
		}
	})
}
