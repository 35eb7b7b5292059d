package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// The output formats. Only the command "codes" accepts outputMarkdown.
const (
	outputTable    = "table"
	outputJSON     = "json"
	outputMarkdown = "markdown"
)

// column is one column of a table: its heading and the dotted path of its value in each row.
type column struct{ heading, path string }

// show writes a JSON response in the chosen format. As a table it shows the elements of the array
// under rows, or the response as one row if rows is empty.
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
		value = lookup(value, rows)
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
	table.endRow()
	for _, row := range list {
		for _, c := range columns {
			table.cell(cellText(lookup(row, c.path)))
		}
		table.endRow()
	}
	return table.flush()
}

// showJSON writes a JSON response with indentation.
func (a *app) showJSON(body []byte) error {
	var out bytes.Buffer
	if err := json.Indent(&out, body, "", "  "); err != nil {
		return fmt.Errorf("the answer is not JSON: %w", err)
	}
	out.WriteByte('\n')
	_, err := a.out.Write(out.Bytes())
	return err
}

// lookup returns the value at a dotted path through nested objects, or nil if there is none.
func lookup(value any, path string) any {
	for _, name := range strings.Split(path, ".") {
		object, ok := value.(map[string]any)
		if !ok {
			return nil
		}
		value = object[name]
	}
	return value
}

// cellText formats a value for a table cell; nil and the empty string become a hyphen.
func cellText(value any) string {
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
			parts[i] = cellText(v[i])
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

// table writes rows of aligned columns.
type table struct {
	w     *tabwriter.Writer
	cells []string
}

func newTable(out io.Writer) *table { return &table{w: tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)} }

func (t *table) cell(s string) { t.cells = append(t.cells, s) }

// endRow writes the cells added since the last row.
func (t *table) endRow() {
	fmt.Fprintln(t.w, strings.Join(t.cells, "\t"))
	t.cells = t.cells[:0]
}

func (t *table) flush() error { return t.w.Flush() }
