// Package result holds the numbered result codes of pulleyquay and the one
// error type that carries them between processes and to callers.
//
// Every refusal or failure that leaves a process is a *Error. Codes are grouped
// by thousands, one file a group; docs/RESULT-CODES.md lists all of them.
package result

import (
	"errors"
	"fmt"
	"sort"
	"time"
)

// Code numbers one way in which a request, job, change or start can end.
// Numbers are never reused.
type Code int

// Ran says whether the work asked for was executed. RanNo is a promise: not a
// byte of the request can have reached an executor or a worker.
type Ran string

// The three answers to "did it run".
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Info is the fixed part of a code: what the table in the docs shows.
type Info struct {
	Code   Code
	Name   string // stable identifier in kebab-case
	Status int    // HTTP status a caller sees
	Title  string // one line, the same for every occurrence
}

var table = map[Code]Info{}

// register adds codes to the table. It panics on a number used twice, which is
// a mistake in the program and shows at its first start.
func register(infos ...Info) {
	for _, i := range infos {
		if _, dup := table[i.Code]; dup {
			panic(fmt.Sprintf("result: code %d registered twice", i.Code))
		}
		table[i.Code] = i
	}
}

// Lookup returns the fixed part of a code; ok is false for an unknown one.
func Lookup(c Code) (info Info, ok bool) {
	info, ok = table[c]
	return info, ok
}

// All returns every registered code in ascending order.
func All() []Info {
	out := make([]Info, 0, len(table))
	for _, i := range table {
		out = append(out, i)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Code < out[b].Code })
	return out
}

// Error is a numbered failure. It is a CBOR value on peer links and the source
// of the RFC 9457 problem document that callers get.
type Error struct {
	Code Code `cbor:"1,keyasint" json:"code"`
	// Detail is the reason of this occurrence, for a person to act on.
	Detail string `cbor:"2,keyasint,omitempty" json:"detail,omitempty"`
	// Ran is the promise about execution; the zero value counts as unknown.
	Ran Ran `cbor:"3,keyasint,omitempty" json:"ran,omitempty"`
	// RetryAfter is when to come back; zero when a retry makes no sense.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty" json:"retry_after,omitempty"`
	// Field is the path of the offending field, for refused input.
	Field string `cbor:"5,keyasint,omitempty" json:"field,omitempty"`
}

// New returns an error of the given code. The detail is formatted as by
// fmt.Sprintf.
func New(c Code, ran Ran, format string, args ...any) *Error {
	return &Error{Code: c, Ran: ran, Detail: fmt.Sprintf(format, args...)}
}

// Later returns a copy of e that tells the caller when to come back.
func (e *Error) Later(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// At returns a copy of e that names the offending field.
func (e *Error) At(field string) *Error {
	c := *e
	c.Field = field
	return &c
}

// Error gives the number, the name and the detail.
func (e *Error) Error() string {
	name := "unregistered"
	if i, ok := Lookup(e.Code); ok {
		name = i.Name
	}
	if e.Field != "" {
		return fmt.Sprintf("%d %s: %s: %s", e.Code, name, e.Field, e.Detail)
	}
	return fmt.Sprintf("%d %s: %s", e.Code, name, e.Detail)
}

// Is makes errors.Is match on the code alone.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}

// CodeOf returns the code of err, or Internal when err carries none.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}

// From returns err as a *Error. An error without a code becomes Internal with
// unknown execution.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, RanUnknown, "%v", err)
}
