package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"reflect"
	"slices"
	"strings"

	"pulleyquay/internal/result"
)

// Overrides are the settings that a branch sets itself; it inherits all others from its parent. The zero value
// overrides nothing. Overrides are immutable.
type Overrides struct {
	list []override // sorted by the order of fields
}

// override is one setting with its value: number for integers and booleans, text for strings.
type override struct {
	field  uint16
	number int64
	text   string
}

// Len returns the number of overridden settings.
func (o Overrides) Len() int { return len(o.list) }

// Equal reports whether both override the same settings with the same values.
func (o Overrides) Equal(other Overrides) bool { return slices.Equal(o.list, other.list) }

// Apply returns v with the overrides applied.
func (o Overrides) Apply(v Values) Values {
	for _, item := range o.list {
		fields[item.field].set(&v, item)
	}
	return v
}

// ParseOverrides parses a branch's override object. It refuses an unknown or repeated name and a value of the wrong
// type. Ranges depend on all values of the branch and are validated with the tree. The error names the field.
func ParseOverrides(data []byte) (Overrides, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var out Overrides
	err := eachMember(d, "", func(group string) error {
		if !isGroup(group) {
			return unknownName(group)
		}
		return eachMember(d, group, func(name string) error {
			item, err := parseOverride(d, group+"."+name)
			if err != nil {
				return err
			}
			out.list = append(out.list, item)
			return nil
		})
	})
	if err == nil {
		err = expectEOF(d)
	}
	if err != nil {
		return Overrides{}, asInputError(err)
	}
	slices.SortFunc(out.list, func(a, b override) int { return int(a.field) - int(b.field) })
	return out, nil
}

// eachMember decodes one JSON object and calls fn for each name in it; fn has to decode the value. It refuses a
// repeated name. field is the object's own field name, for errors.
func eachMember(d *json.Decoder, field string, fn func(name string) error) error {
	open, err := d.Token()
	if err != nil {
		return err
	}
	if open != json.Delim('{') {
		return result.New(result.SettingsWrongType, result.RanNo, "an object is wanted, not %v", open).AtField(field)
	}
	seen := map[string]bool{}
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return err
		}
		name := token.(string) // the decoder yields only strings for names
		if seen[name] {
			return result.New(result.SettingsDuplicate, result.RanNo, "given twice").AtField(joinName(field, name))
		}
		seen[name] = true
		if err := fn(name); err != nil {
			return err
		}
	}
	_, err = d.Token()
	return err
}

func joinName(group, name string) string {
	if group == "" {
		return name
	}
	return group + "." + name
}

func isGroup(name string) bool {
	return slices.ContainsFunc(fields, func(f Field) bool { return strings.HasPrefix(f.Name, name+".") })
}

// parseOverride decodes one value of the named setting.
func parseOverride(d *json.Decoder, name string) (override, error) {
	f, ok := fieldByName[name]
	if !ok {
		return override{}, unknownName(name)
	}
	var value any
	if err := d.Decode(&value); err != nil {
		return override{}, err
	}
	item := override{field: f.id}
	switch v := value.(type) {
	case json.Number:
		n, err := v.Int64()
		if f.kind == reflect.Int64 && err == nil {
			item.number = n
			return item, nil
		}
	case bool:
		if f.kind == reflect.Bool {
			if v {
				item.number = 1
			}
			return item, nil
		}
	case string:
		if f.kind == reflect.String {
			item.text = v
			return item, nil
		}
	}
	return override{}, result.New(result.SettingsWrongType, result.RanNo, "%s is wanted, not %s", f.expectedType(), asJSON(value)).AtField(name)
}

// asJSON returns a refused value as JSON, for the error text.
func asJSON(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		return "this value"
	}
	return string(text)
}

// expectedType describes the values that a setting accepts, for error texts.
func (f *Field) expectedType() string {
	switch f.kind {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	}
	if f.Unit == "count" {
		return "a whole number"
	}
	return "a whole number of " + f.Unit
}

func unknownName(name string) *result.Error {
	return result.New(result.SettingsUnknownName, result.RanNo, "no setting is called %s", name).AtField(name)
}

func expectEOF(d *json.Decoder) error {
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return result.New(result.BadInput, result.RanNo, "something follows the object")
	}
	return nil
}

// asInputError converts a decoder's error to a BadInput error; other errors keep their code.
func asInputError(err error) error {
	var e *result.Error
	if errors.As(err, &e) {
		return e
	}
	return result.New(result.BadInput, result.RanNo, "not valid JSON: %v", err)
}

// MarshalJSON encodes the override object; equal overrides have equal encodings.
func (o Overrides) MarshalJSON() ([]byte, error) {
	groups := map[string]map[string]any{}
	for _, item := range o.list {
		f := &fields[item.field]
		group, name, _ := strings.Cut(f.Name, ".")
		if groups[group] == nil {
			groups[group] = map[string]any{}
		}
		groups[group][name] = f.jsonValue(item)
	}
	return json.Marshal(groups)
}

// UnmarshalJSON decodes an override object with the checks of ParseOverrides.
func (o *Overrides) UnmarshalJSON(data []byte) error {
	parsed, err := ParseOverrides(data)
	if err != nil {
		return err
	}
	*o = parsed
	return nil
}

func (f *Field) jsonValue(item override) any {
	switch f.kind {
	case reflect.Int64:
		return item.number
	case reflect.Bool:
		return item.number != 0
	default:
		return item.text
	}
}
