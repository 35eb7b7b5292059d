package settings

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"

	"pulleyquay/internal/result"
)

// rules checks effective values by the tags of Values.
var rules = newRules()

func newRules() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	return v
}

// check returns the first rule that a branch's effective values violate. The error's field is the branch's path, a
// colon and the setting's name.
func check(path string, values *Values) error {
	err := rules.Struct(values)
	var violations validator.ValidationErrors
	if err == nil || !errors.As(err, &violations) {
		return err
	}
	first := violations[0]
	name := strings.TrimPrefix(first.Namespace(), reflect.TypeFor[Values]().Name()+".")
	return violationError(first, name).AtField(path + ":" + name)
}

// violationError returns the error for one violated rule.
func violationError(violation validator.FieldError, name string) *result.Error {
	group, _, _ := strings.Cut(name, ".")
	switch violation.Tag() {
	case "ltefield", "gtefield":
		bound := "at most"
		if violation.Tag() == "gtefield" {
			bound = "at least"
		}
		return result.New(result.SettingsContradiction, result.RanNo, "%v, but must be %s %s.%s of the same branch",
			violation.Value(), bound, group, jsonNameOfField(violation.Param()))
	case "oneof":
		return result.New(result.SettingsOutOfRange, result.RanNo, "%q, but must be one of: %s", violation.Value(), violation.Param())
	default:
		return result.New(result.SettingsOutOfRange, result.RanNo, "%v, but %s is %s %s",
			violation.Value(), violation.Tag(), violation.Param(), fieldByName[name].Unit)
	}
}

// jsonNameOfField returns the JSON name of a Go field that a rule refers to.
func jsonNameOfField(goName string) string {
	groups := reflect.TypeFor[Values]()
	for g := range groups.NumField() {
		if leaf, ok := groups.Field(g).Type.FieldByName(goName); ok {
			return jsonName(leaf)
		}
	}
	panic(fmt.Sprintf("settings: rule names unknown field %s", goName))
}
