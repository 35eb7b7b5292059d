// Package result defines the numbered result codes of pulleyquay and the error type that carries them between
// processes and to callers.
//
// Every refusal or failure that a process returns to another one is an *Error. Codes are grouped by number, one file
// for each group; docs/RESULT-CODES.md lists all of them.
package result

import (
	"errors"
	"fmt"
	"sort"
	"time"
)

// Code is the number of one way in which a request, job, change or start can end. Numbers are never reused.
type Code int

// Ran says whether the requested work was executed. RanNo is a guarantee: not a byte of the request can have reached an
// executor or a worker.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Info is the description of a code, as listed in docs/RESULT-CODES.md.
type Info struct {
	Code   Code
	Name   string // stable identifier in kebab-case
	Status int    // HTTP status a caller sees
	Title  string // one line, the same for every occurrence
}

var table = map[Code]Info{}

// register adds codes to the table. It panics on a duplicate number, which is a programming error and is found at the
// first start of the program.
func register(infos ...Info) {
	for _, i := range infos {
		if _, dup := table[i.Code]; dup {
			panic(fmt.Sprintf("result: code %d registered twice", i.Code))
		}
		table[i.Code] = i
	}
}

// Lookup returns the description of a code; ok is false for an unknown code.
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

// Error is a failure with a result code. It is encoded as CBOR on peer links, and as an RFC 9457 problem document for
// callers.
type Error struct {
	Code Code `cbor:"1,keyasint" json:"code"`
	// Detail explains this occurrence to an operator or caller.
	Detail string `cbor:"2,keyasint,omitempty" json:"detail,omitempty"`
	// Ran says whether the work was executed; the zero value counts as unknown.
	Ran Ran `cbor:"3,keyasint,omitempty" json:"ran,omitempty"`
	// RetryAfter is the delay before a retry; zero when a retry is pointless.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty" json:"retry_after,omitempty"`
	// Field is the path of the offending field, for refused input.
	Field string `cbor:"5,keyasint,omitempty" json:"field,omitempty"`
}

// New returns an error of the given code. The detail is formatted as by fmt.Sprintf.
func New(c Code, ran Ran, format string, args ...any) *Error {
	return &Error{Code: c, Ran: ran, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e with the delay before a retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// AtField returns a copy of e with the path of the offending field.
func (e *Error) AtField(field string) *Error {
	c := *e
	c.Field = field
	return &c
}

// Error returns the number, the name, the field if any, and the detail.
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

// Is makes errors.Is compare only the codes.
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

// From returns err as an *Error. An error without a code becomes an Internal error with unknown execution.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, RanUnknown, "%v", err)
}
