package workerhttp

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"pulleyquay/internal/worker"
)

// maxOrderBytes bounds the body of a claim or an order.
const maxOrderBytes = 16 << 20

// Handler serves the protocol for the worker that client reaches at addr. If the client
// returns ErrNotReached, ErrLost or an unknown error, the connection is closed without a
// response.
func Handler(client worker.Client, addr string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathClaim, serve(func(ctx context.Context, req worker.ClaimRequest) (worker.ClaimReply, error) {
		return client.Claim(ctx, addr, req)
	}))
	mux.HandleFunc("POST "+PathOrders, serve(func(ctx context.Context, o worker.Order) (worker.OrderReply, error) {
		return client.Order(ctx, addr, o)
	}))
	return mux
}

func serve[In, Out any](do func(context.Context, In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&in); err != nil {
			writeJSON(w, http.StatusBadRequest, Error{Error: "bad-input", Detail: err.Error()})
			return
		}
		out, err := do(r.Context(), in)
		if err != nil {
			writeRefusal(w, err)
			return
		}
		writeJSON(w, http.StatusOK, out)
	}
}

func writeRefusal(w http.ResponseWriter, err error) {
	for _, r := range refusals {
		if errors.Is(err, r.err) {
			writeJSON(w, r.status, Error{Error: r.name, Detail: err.Error()})
			return
		}
	}
	panic(http.ErrAbortHandler)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
