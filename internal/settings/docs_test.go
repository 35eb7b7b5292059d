package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// docRow returns the start of a setting's row in docs/SETTINGS.md; the setting's description follows it.
func docRow(f Field) string {
	unit, rule := f.Unit, f.Rule
	if unit == "" {
		unit = "-"
	}
	if rule == "" {
		rule = "true or false"
	}
	return fmt.Sprintf("| `%s` | %s | %v | %s | ", f.Name, unit, f.Default(), rule)
}

// The page must list exactly the existing settings, each with its unit, default and rule.
func TestPageListsEverySetting(t *testing.T) {
	data, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	for _, f := range Fields() {
		if !strings.Contains(page, docRow(f)) {
			t.Errorf("docs/SETTINGS.md lacks %q", docRow(f))
		}
	}
	if rows := strings.Count(page, "\n| `"); rows != len(Fields()) {
		t.Errorf("docs/SETTINGS.md has rows for %d settings, there are %d", rows, len(Fields()))
	}
}
