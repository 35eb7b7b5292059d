package storehttp_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/platform/platformtest"
	"pulleyquay/internal/standin/storehttp"
)

// serve starts the stand-in's store on the loopback interface.
func serve(t *testing.T) (*memstore.Engine, *httptest.Server) {
	engine := memstore.New()
	server := httptest.NewServer(storehttp.Handler(engine))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		engine.Close()
	})
	return engine, server
}

func TestContract(t *testing.T) {
	platformtest.TestStore(t, func(t *testing.T) platformtest.StoreCase {
		engine, client := overHTTP(t)
		return platformtest.StoreCase{Store: client, Compact: engine.Compact}
	})
}

func TestFaultsAreStrict(t *testing.T) {
	engine, server := serve(t)
	tests := map[string]struct {
		path, body string
		status     int
	}{
		"all":           {"/faults", `{"refuse":true}`, http.StatusOK},
		"one client":    {"/faults/clients/b", `{"lose_answers":2}`, http.StatusOK},
		"unknown name":  {"/faults", `{"refuze":true}`, http.StatusBadRequest},
		"wrong type":    {"/faults", `{"refuse":1}`, http.StatusBadRequest},
		"two documents": {"/faults", `{} {}`, http.StatusBadRequest},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			request, err := http.NewRequest(http.MethodPut, server.URL+test.path, strings.NewReader(test.body))
			is.NoErr(err)
			response, err := server.Client().Do(request)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(response.StatusCode, test.status)
		})
	}
	is := is.New(t)
	is.True(engine.Faults().Refuse)
	is.Equal(engine.Client("b").Faults().LoseAnswers, 2)
}
