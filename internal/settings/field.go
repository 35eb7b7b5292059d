package settings

import (
	"reflect"
	"strings"
)

// Field describes one setting: a leaf of Values.
type Field struct {
	// Name is group.setting, as in request.queue_limit.
	Name string
	// Unit is the unit of a number; empty for booleans and strings.
	Unit string
	// Rule is the validation rule of the effective value.
	Rule string

	kind  reflect.Kind
	index []int
	id    uint16
}

// fields lists every setting in the order of Values; fieldByName indexes them by Name.
var fields, fieldByName = buildFields()

// Fields returns every setting in the order of Values.
func Fields() []Field { return append([]Field(nil), fields...) }

// Default returns the built-in value as an int64, a bool or a string.
func (f Field) Default() any {
	v := Defaults()
	return f.get(&v)
}

func buildFields() ([]Field, map[string]*Field) {
	var list []Field
	groups := reflect.TypeFor[Values]()
	for g := range groups.NumField() {
		group := groups.Field(g)
		for i := range group.Type.NumField() {
			leaf := group.Type.Field(i)
			name := jsonName(group) + "." + jsonName(leaf)
			list = append(list, Field{
				Name: name, Unit: unitOf(name, leaf.Type.Kind()), Rule: leaf.Tag.Get("validate"),
				kind: leaf.Type.Kind(), index: []int{g, i}, id: uint16(len(list)),
			})
		}
	}
	byName := make(map[string]*Field, len(list))
	for i := range list {
		byName[list[i].Name] = &list[i]
	}
	return list, byName
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// units maps the suffix of a setting's name to its unit.
var units = []struct{ suffix, unit string }{
	{"_ms", "milliseconds"}, {"_bytes", "bytes"}, {"_percent", "percent"},
	{"_mib", "MiB"}, {"milli_cpu", "thousandths of a core"},
}

func unitOf(name string, kind reflect.Kind) string {
	if kind != reflect.Int64 {
		return ""
	}
	for _, u := range units {
		if strings.HasSuffix(name, u.suffix) {
			return u.unit
		}
	}
	return "count"
}

// get returns the setting's value in v: an int64, a bool or a string.
func (f *Field) get(v *Values) any {
	return reflect.ValueOf(v).Elem().FieldByIndex(f.index).Interface()
}

// set assigns an override's value to the setting in v.
func (f *Field) set(v *Values, o override) {
	leaf := reflect.ValueOf(v).Elem().FieldByIndex(f.index)
	switch f.kind {
	case reflect.Int64:
		leaf.SetInt(o.number)
	case reflect.Bool:
		leaf.SetBool(o.number != 0)
	default:
		leaf.SetString(o.text)
	}
}
