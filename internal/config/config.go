// Package config reads the daemons' own configuration files: JSON with strict validation. An unknown name, a duration
// without a unit, a value out of range or a contradiction is refused with the path of the field.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"

	"pulleyquay/internal/result"
)

// Duration is a duration that is encoded with its unit, such as "3s" or "500ms".
type Duration time.Duration

// UnmarshalJSON refuses a number without a unit, since the unit would be ambiguous.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("%s has no unit; write a string such as \"500ms\"", data)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON encodes d in the form that UnmarshalJSON accepts.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Checker is implemented by configuration types with rules across several fields. Check returns a *result.Error that
// names the field.
type Checker interface{ Check() error }

// Load decodes the file at path into target, which holds the defaults, and validates it. Every error is a *result.Error
// with a code from 7000 to 7099.
func Load(path string, target any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return result.New(result.ConfigUnreadable, result.RanNo, "%v", err)
	}
	return Parse(data, target)
}

// Parse is like Load but takes the file's content.
func Parse(data []byte, target any) error {
	var raw any
	if err := decodeOne(data, &raw); err != nil {
		return result.New(result.ConfigUnreadable, result.RanNo, "%v", err)
	}
	if err := checkNames(raw, reflect.TypeOf(target), ""); err != nil {
		return err
	}
	if err := decodeOne(data, target); err != nil {
		return typeError(err)
	}
	if err := checkRanges(target); err != nil {
		return err
	}
	if c, ok := target.(Checker); ok {
		return c.Check()
	}
	return nil
}

// decodeOne decodes one JSON value and refuses data after it.
func decodeOne(data []byte, target any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(target); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one JSON value")
	}
	return nil
}

func typeError(err error) error {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return result.New(result.ConfigValue, result.RanNo, "%s can not be read as %s", te.Value, te.Type).AtField(te.Field)
	}
	return result.New(result.ConfigValue, result.RanNo, "%v", err)
}

// unmarshaler is implemented by types that decode themselves, such as Duration.
var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

// checkNames compares raw, a JSON value of the file, with t, the Go type that the value is decoded into. It
// refuses names that t doesn't have. If t, or a type within t, has its own UnmarshalJSON, checkNames refuses
// the values that this method doesn't accept. The JSON decoder's errors for both don't contain the path.
func checkNames(raw any, t reflect.Type, path string) error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(unmarshaler) {
		return checkForm(raw, t, path)
	}
	switch v := raw.(type) {
	case map[string]any:
		return checkObject(v, t, path)
	case []any:
		if t.Kind() != reflect.Slice {
			return nil // the decoder reports the type
		}
		for i, item := range v {
			if err := checkNames(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkForm(raw any, t reflect.Type, path string) error {
	data, err := json.Marshal(raw)
	if err == nil {
		err = json.Unmarshal(data, reflect.New(t).Interface())
	}
	if err != nil {
		return result.New(result.ConfigValue, result.RanNo, "%v", err).AtField(path)
	}
	return nil
}

func checkObject(object map[string]any, t reflect.Type, path string) error {
	if t.Kind() != reflect.Struct {
		return nil
	}
	fields := jsonFields(t)
	for name, value := range object {
		fieldPath := strings.TrimPrefix(path+"."+name, ".")
		ft, ok := fields[name]
		if !ok {
			return result.New(result.ConfigUnknownName, result.RanNo, "no such setting").AtField(fieldPath)
		}
		if err := checkNames(value, ft, fieldPath); err != nil {
			return err
		}
	}
	return nil
}

func jsonFields(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for f := range fieldsOf(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = f.Type
		}
	}
	return fields
}

func fieldsOf(t reflect.Type) func(yield func(reflect.StructField) bool) {
	return func(yield func(reflect.StructField) bool) {
		for i := range t.NumField() {
			if !yield(t.Field(i)) {
				return
			}
		}
	}
}

func checkRanges(target any) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	err := v.Struct(target)
	var violations validator.ValidationErrors
	if errors.As(err, &violations) {
		first := violations[0]
		_, path, _ := strings.Cut(first.Namespace(), ".")
		rule := strings.TrimSuffix(first.Tag()+"="+first.Param(), "=")
		return result.New(result.ConfigValue, result.RanNo, "%v does not satisfy %q", first.Value(), rule).AtField(path)
	}
	return err
}
