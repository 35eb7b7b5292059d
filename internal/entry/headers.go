package entry

import (
	"net/http"
	"strconv"
	"strings"

	"pulleyquay/internal/executor"
)

// hopByHop are the headers that belong to one connection (RFC 9110, section 7.6.1), and the
// content length, which each hop computes itself.
var hopByHop = []string{
	"Connection", "Content-Length", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of the headers without those that belong to one connection.
func endToEnd(h http.Header) http.Header {
	kept := make(http.Header, len(h))
	for name, values := range h {
		kept[name] = values
	}
	for _, field := range h["Connection"] {
		for _, name := range strings.Split(field, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(kept, name)
	}
	return kept
}

// writeAnswer writes an executor's answer to the caller.
func writeAnswer(w http.ResponseWriter, method string, a executor.Answer) {
	header := w.Header()
	for name, values := range endToEnd(a.Header) {
		header[name] = values
	}
	switch {
	case method == http.MethodHead:
		if length := a.Header.Get("Content-Length"); length != "" {
			header.Set("Content-Length", length)
		}
	case a.Status != http.StatusNoContent && a.Status != http.StatusNotModified:
		header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	if method != http.MethodHead {
		// The write fails only if the caller has disconnected; the error cannot be reported to
		// anyone.
		_, _ = w.Write(a.Body)
	}
}
