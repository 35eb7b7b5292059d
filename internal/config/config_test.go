package config

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/result"
)

type inner struct {
	Wait Duration `json:"wait" validate:"min=0"`
}

type sample struct {
	Name  string  `json:"name" validate:"required"`
	Count int     `json:"count" validate:"min=1,max=9"`
	Inner inner   `json:"inner"`
	List  []inner `json:"list"`
}

func (s *sample) Check() error {
	if s.Inner.Wait.Std() > time.Minute && s.Count > 5 {
		return result.New(result.ConfigContradiction, result.RanNo, "too long for so many").AtField("inner.wait")
	}
	return nil
}

func TestParse(t *testing.T) {
	tests := map[string]struct {
		in    string
		code  result.Code // zero for accepted
		field string
	}{
		"accepted":            {`{"name":"a","inner":{"wait":"3s"}}`, 0, ""},
		"unknown name":        {`{"name":"a","nmae":"b"}`, result.ConfigUnknownName, "nmae"},
		"unknown nested":      {`{"name":"a","inner":{"wiat":"3s"}}`, result.ConfigUnknownName, "inner.wiat"},
		"unknown in list":     {`{"name":"a","list":[{},{"x":1}]}`, result.ConfigUnknownName, "list[1].x"},
		"number without unit": {`{"name":"a","inner":{"wait":3}}`, result.ConfigValue, "inner.wait"},
		"unknown unit":        {`{"name":"a","inner":{"wait":"3 days"}}`, result.ConfigValue, "inner.wait"},
		"unit missing, list":  {`{"name":"a","list":[{"wait":"1s"},{"wait":"3"}]}`, result.ConfigValue, "list[1].wait"},
		"wrong type":          {`{"name":"a","count":"x"}`, result.ConfigValue, "count"},
		"out of range":        {`{"name":"a","count":10}`, result.ConfigValue, "count"},
		"missing":             {`{"count":2}`, result.ConfigValue, "name"},
		"contradiction":       {`{"name":"a","count":6,"inner":{"wait":"2m"}}`, result.ConfigContradiction, "inner.wait"},
		"not JSON":            {`{`, result.ConfigUnreadable, ""},
		"two values":          {`{"name":"a"}{}`, result.ConfigUnreadable, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := sample{Count: 1}
			err := Parse([]byte(tc.in), &got)
			if tc.code == 0 {
				is.NoErr(err)
				return
			}
			e := result.From(err)
			is.Equal(e.Code, tc.code)
			is.Equal(e.Field, tc.field)
		})
	}
}
