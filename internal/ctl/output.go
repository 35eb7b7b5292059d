package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// The output formats; markdown is for codes only.
const (
	outputTable    = "table"
	outputJSON     = "json"
	outputMarkdown = "markdown"
)

// column is one column of a table: its heading and the path of the value in
// each row, with dots between names.
type column struct{ heading, path string }

// show writes a JSON answer as asked: as it is, or the array under rows (or the
// answer itself when rows is empty) as a table.
func (a *app) show(body []byte, rows string, columns ...column) error {
	if a.output != outputTable {
		return a.showJSON(body)
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	var value any
	if err := d.Decode(&value); err != nil {
		return fmt.Errorf("the answer is not JSON: %w", err)
	}
	if rows != "" {
		value = dig(value, rows)
	}
	list, ok := value.([]any)
	if !ok {
		list = []any{value}
	}
	if value == nil {
		list = nil
	}
	table := newTable(a.out)
	for _, c := range columns {
		table.cell(c.heading)
	}
	table.end()
	for _, row := range list {
		for _, c := range columns {
			table.cell(text(dig(row, c.path)))
		}
		table.end()
	}
	return table.flush()
}

// showJSON writes a JSON answer indented.
func (a *app) showJSON(body []byte) error {
	var out bytes.Buffer
	if err := json.Indent(&out, body, "", "  "); err != nil {
		return fmt.Errorf("the answer is not JSON: %w", err)
	}
	out.WriteByte('\n')
	_, err := a.out.Write(out.Bytes())
	return err
}

// dig follows a dotted path through objects; nil when it leads nowhere.
func dig(value any, path string) any {
	for _, name := range strings.Split(path, ".") {
		object, ok := value.(map[string]any)
		if !ok {
			return nil
		}
		value = object[name]
	}
	return value
}

// text gives a value for a cell.
func text(value any) string {
	switch v := value.(type) {
	case nil:
		return "-"
	case string:
		if v == "" {
			return "-"
		}
		return v
	case []any:
		parts := make([]string, len(v))
		for i := range v {
			parts[i] = text(v[i])
		}
		return strings.Join(parts, ",")
	case map[string]any:
		raw, err := json.Marshal(v)
		if err != nil {
			return "?"
		}
		return string(raw)
	default:
		return fmt.Sprint(v)
	}
}

// table writes aligned columns.
type table struct {
	w     *tabwriter.Writer
	cells []string
}

func newTable(out io.Writer) *table { return &table{w: tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)} }

func (t *table) cell(s string) { t.cells = append(t.cells, s) }

// end ends the row.
func (t *table) end() {
	fmt.Fprintln(t.w, strings.Join(t.cells, "\t"))
	t.cells = t.cells[:0]
}

func (t *table) flush() error { return t.w.Flush() }
