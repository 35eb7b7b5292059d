package ctl

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"pulleyquay/internal/result"
)

// Request headers that a caller sets.
const (
	keyHeader     = "Idempotency-Key"
	timeoutHeader = "Request-Timeout-Ms"
	callerHeader  = "Caller-Id"
)

// Values of --key besides a UUIDv7.
const (
	keyAuto = "auto"
	keyNone = "none"
)

// idempotentMethods are those of RFC 9110 that a service may receive.
var idempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions}

// callFlags are the flags of the call command.
type callFlags struct {
	method, data, key, caller string
	headers                   []string
	deadline                  time.Duration
}

func (a *app) callCommand() *cobra.Command {
	var f callFlags
	cmd := &cobra.Command{
		Use: "call SERVICE PATH", Short: "Send a request to a service", Args: cobra.ExactArgs(2),
		Long: "A POST gets a new Idempotency-Key, which is shown: with it a request whose\n" +
			"outcome is unknown can be repeated through any entry and runs once at most.\n" +
			"Another entry is tried only when nothing can have run, or with a key, or for\n" +
			"an idempotent method.",
		Example: "  pulleyctl call ledger /reviews/17\n" +
			"  pulleyctl call ledger /tickets -X POST -d '{\"gully\":4}' --deadline 2s\n" +
			"  pulleyctl call ledger /tickets -X POST -d @ticket.json --key 01970000-0000-7000-8000-000000000001",
		RunE: func(_ *cobra.Command, args []string) error { return a.call(args[0], args[1], f) },
	}
	flags := cmd.Flags()
	flags.StringVarP(&f.method, "method", "X", http.MethodGet, "method")
	flags.StringVarP(&f.data, "data", "d", "", "body; @FILE reads a file, @- standard input")
	flags.StringVar(&f.key, "key", keyAuto, "Idempotency-Key: a UUIDv7, auto (a new one for POST and PATCH) or none")
	flags.StringVar(&f.caller, "caller", "", "identity of the caller")
	flags.StringArrayVarP(&f.headers, "header", "H", nil, "further header, Name: value")
	flags.DurationVar(&f.deadline, "deadline", 0, "deadline; by default the service's")
	return cmd
}

// call sends one request to a service and writes the body of the response. A status of 400 or above
// is returned as an error after the body was written.
func (a *app) call(service, path string, f callFlags) error {
	r, key, err := a.callRequest(service, path, f)
	if err != nil {
		return err
	}
	if key != "" {
		fmt.Fprintf(a.errs, "key %s\n", key)
	}
	got, err := a.client.do(r)
	if err != nil {
		return err
	}
	if _, err := a.out.Write(got.body); err != nil {
		return err
	}
	if got.status >= http.StatusBadRequest {
		return result.New(result.Internal, result.RanYes, "the service answered with status %d", got.status)
	}
	return nil
}

// callRequest builds the request and returns its idempotency key, or "" if it has none.
func (a *app) callRequest(service, path string, f callFlags) (request, string, error) {
	r := request{method: strings.ToUpper(f.method), header: http.Header{},
		path: "/v1/services/" + service + "/" + strings.TrimPrefix(path, "/")}
	idempotent := slices.Contains(idempotentMethods, r.method)
	r.read = r.method == http.MethodGet || r.method == http.MethodHead
	for _, line := range f.headers {
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return r, "", usagef("--header %q: Name: value is wanted", line)
		}
		r.header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	key := f.key
	if key == keyNone || (key == keyAuto && idempotent) {
		key = ""
	} else if key == keyAuto {
		key = uuid.Must(uuid.NewV7()).String()
	} else if id, err := uuid.Parse(key); err != nil || id.Version() != 7 {
		return r, "", usagef("--key %q is no UUIDv7", key)
	}
	if key != "" {
		r.header.Set(keyHeader, key)
	}
	if f.caller != "" {
		r.header.Set(callerHeader, f.caller)
	}
	if f.deadline > 0 {
		r.header.Set(timeoutHeader, strconv.FormatInt(f.deadline.Milliseconds(), 10))
	}
	r.repeatable = idempotent || key != ""
	body, err := a.callBody(f.data)
	r.body = body
	return r, key, err
}

func (a *app) callBody(data string) ([]byte, error) {
	if file, ok := strings.CutPrefix(data, "@"); ok {
		return a.readInput(file)
	}
	return []byte(data), nil
}
