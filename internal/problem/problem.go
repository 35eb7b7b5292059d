// Package problem writes failures to HTTP callers as RFC 9457 problem documents.
package problem

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"pulleyquay/internal/result"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// typePrefix starts the URN of every problem type; the code's name follows.
const typePrefix = "urn:pulleyquay:problem:"

// Document is the body of an error response.
type Document struct {
	// Type is a stable URN that ends in the code's name.
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Code is the number in docs/RESULT-CODES.md.
	Code result.Code `json:"code"`
	// Ran says whether the requested work was executed: no, yes or unknown.
	Ran result.Ran `json:"ran"`
	// Field is the path of the offending field, for refused input.
	Field string `json:"field,omitempty"`
	// RetryAfterSeconds repeats the Retry-After header; absent when a retry is pointless.
	RetryAfterSeconds int64 `json:"retry_after_seconds,omitempty"`
}

// Of returns the problem document of e. A missing Ran counts as unknown; a code that isn't registered gets status 500.
func Of(e *result.Error) Document {
	info, ok := result.Lookup(e.Code)
	if !ok {
		info = result.Info{Name: "unregistered", Status: http.StatusInternalServerError, Title: "unregistered result code"}
	}
	ran := e.Ran
	if ran == "" {
		ran = result.RanUnknown
	}
	return Document{
		Type: typePrefix + info.Name, Title: info.Title, Status: info.Status, Detail: e.Detail,
		Code: e.Code, Ran: ran, Field: e.Field, RetryAfterSeconds: retrySeconds(e.RetryAfter),
	}
}

// Write responds with the problem document of e, and with a Retry-After header if e has RetryAfter.
func Write(w http.ResponseWriter, e *result.Error) {
	doc := Of(e)
	body, err := json.Marshal(doc)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Cache-Control", "no-store")
	if doc.RetryAfterSeconds > 0 {
		h.Set("Retry-After", strconv.FormatInt(doc.RetryAfterSeconds, 10))
	}
	w.WriteHeader(doc.Status)
	_, _ = w.Write(body) // fails only if the caller has disconnected
}

// Read decodes a problem document into the error from which it was written. Any other body becomes an Internal error
// with unknown execution.
func Read(status int, body []byte) *result.Error {
	var doc Document
	if err := json.Unmarshal(body, &doc); err != nil || doc.Code == 0 {
		return result.New(result.Internal, result.RanUnknown, "status %d without a problem document", status)
	}
	detail := doc.Detail
	if detail == "" {
		detail = fmt.Sprintf("%s (status %d)", doc.Title, doc.Status)
	}
	return &result.Error{
		Code: doc.Code, Detail: detail, Ran: doc.Ran, Field: doc.Field,
		RetryAfter: time.Duration(doc.RetryAfterSeconds) * time.Second,
	}
}

// retrySeconds rounds a positive duration up to whole seconds; other durations give zero.
func retrySeconds(d time.Duration) int64 {
	if d <= 0 {
		return 0
	}
	return int64((d + time.Second - 1) / time.Second)
}
