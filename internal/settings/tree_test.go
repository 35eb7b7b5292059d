package settings

import (
	"os"
	"testing"

	"github.com/matryer/is"

	"pulleyquay/internal/result"
)

// fataler is implemented by *testing.T and *rapid.T.
type fataler interface {
	Helper()
	Fatal(args ...any)
}

func mustParse(t fataler, text string) *Tree {
	t.Helper()
	tree, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

func TestParseRefuses(t *testing.T) {
	cases := []struct {
		name, text string
		code       result.Code
		field      string
	}{
		{"unknown setting", `{"/a":{"request":{"queue":1}}}`, result.SettingsUnknownName, "/a:request.queue"},
		{"another case", `{"/a":{"request":{"Queue_limit":1}}}`, result.SettingsUnknownName, "/a:request.Queue_limit"},
		{"unknown group", `{"/a":{"reqest":{}}}`, result.SettingsUnknownName, "/a:reqest"},
		{"wrong unit", `{"/a":{"request":{"default_deadline_ms":"2s"}}}`, result.SettingsWrongType, "/a:request.default_deadline_ms"},
		{"fraction", `{"/a":{"request":{"queue_limit":1.5}}}`, result.SettingsWrongType, "/a:request.queue_limit"},
		{"null value", `{"/a":{"request":{"queue_limit":null}}}`, result.SettingsWrongType, "/a:request.queue_limit"},
		{"flag for a number", `{"/a":{"request":{"queue_limit":true}}}`, result.SettingsWrongType, "/a:request.queue_limit"},
		{"number for a word", `{"/a":{"placement":{"policy":1}}}`, result.SettingsWrongType, "/a:placement.policy"},
		{"given twice", `{"/a":{"request":{"queue_limit":1,"queue_limit":2}}}`, result.SettingsDuplicate, "/a:request.queue_limit"},
		{"group twice", `{"/a":{"request":{},"request":{}}}`, result.SettingsDuplicate, "/a:request"},
		{"not an object", `{"/a":[]}`, result.SettingsWrongType, "/a"},
		{"out of range", `{"/a":{"executor":{"slots":0}}}`, result.SettingsOutOfRange, "/a:executor.slots"},
		{"no such policy", `{"/a":{"placement":{"policy":"best"}}}`, result.SettingsOutOfRange, "/a:placement.policy"},
		{"default over max", `{"/a":{"request":{"default_deadline_ms":40000}}}`, result.SettingsContradiction, "/a:request.default_deadline_ms"},
		{"slots over connections", `{"/a":{"executor":{"slots":65}}}`, result.SettingsContradiction, "/a:executor.slots"},
		{"key window below maximum deadline", `{"/a":{"request":{"key_window_ms":2000}}}`, result.SettingsContradiction, "/a:request.key_window_ms"},
		{"below an inherited bound", `{"/a":{"request":{"max_deadline_ms":3000}},"/a/b":{"request":{"default_deadline_ms":4000}}}`,
			result.SettingsContradiction, "/a/b:request.default_deadline_ms"},
		{"dot", `{"/a.b":{}}`, result.SettingsBadPath, "/a.b"},
		{"missing parent", `{"/a/b":{}}`, result.SettingsUnknownBranch, "/a"},
		{"no slash", `{"a":{}}`, result.SettingsBadPath, "a"},
		{"empty segment", `{"/a//b":{}}`, result.SettingsBadPath, "/a//b"},
		{"upper case", `{"/A":{}}`, result.SettingsBadPath, "/A"},
		{"too deep", `{"/a/a/a/a/a/a/a/a/a":{}}`, result.SettingsBadPath, "/a/a/a/a/a/a/a/a/a"},
		{"path twice", `{"/a":{},"/a":{}}`, result.SettingsDuplicate, "/a"},
		{"nothing", `{}`, result.SettingsNothingToChange, ""},
		{"removing an unknown branch", `{"/a":null}`, result.SettingsUnknownBranch, "/a"},
		{"removing the root", `{"/":null}`, result.SettingsBranchInUse, "/"},
		{"something after", `{"/a":{}} x`, result.BadInput, ""},
		{"truncated", `{"/a":{`, result.BadInput, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(c.text))
			is.True(err != nil)
			e := result.From(err)
			is.Equal(e.Code, c.code)
			is.Equal(e.Field, c.field)
			is.Equal(e.Ran, result.RanNo)
		})
	}
}

func TestInheritance(t *testing.T) {
	is := is.New(t)
	tree := mustParse(t, `{"/":{"request":{"queue_limit":7}},"/a":{"executor":{"slots":4}},"/a/b":{"request":{"post_idempotent":true}}}`)
	v, err := tree.Effective("/a/b")
	is.NoErr(err)
	want := Defaults()
	want.Request.QueueLimit, want.Executor.Slots, want.Request.PostIdempotent = 7, 4, true
	is.Equal(v, want)

	list, err := tree.Explain("/a/b")
	is.NoErr(err)
	from := map[string]string{}
	for _, e := range list {
		from[e.Name] = e.From
	}
	is.Equal(len(list), len(Fields()))
	is.Equal(from["request.queue_limit"], "/")
	is.Equal(from["executor.slots"], "/a")
	is.Equal(from["request.post_idempotent"], "/a/b")
	is.Equal(from["task.surge"], FromDefault)
	is.Equal(tree.Paths(), []string{"/", "/a", "/a/b"})
}

func TestUnknownBranchIsRefused(t *testing.T) {
	tree := mustParse(t, `{"/a":{}}`)
	for _, path := range []string{"/b", "/a/b", "/a/", "", "a", "//"} {
		_, err := tree.Effective(path)
		if err == nil {
			t.Errorf("%q was found", path)
		}
	}
}

func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	tree := Empty()
	for _, file := range []string{"lakeshore.json", "regie.json"} {
		data, err := os.ReadFile("../../examples/" + file)
		is.NoErr(err)
		edits, err := ParseBranches(data)
		is.NoErr(err)
		tree, err = tree.Edited(edits, tree.Revision+1, "")
		is.NoErr(err)
	}
	ledger, err := tree.Effective("/lakeshore/ledger")
	is.NoErr(err)
	is.Equal(ledger.Placement.Policy, PolicyWaiting)
	maps, err := tree.Effective("/regie/reconciliations/trend-maps")
	is.NoErr(err)
	is.Equal(maps.Placement.Policy, PolicyPacking) // different policies in one cell
}
