package requesttest_test

import (
	"sync/atomic"

	"pulleyquay/internal/executor"
	"pulleyquay/internal/requesttest"
)

// faultOnce injects a fault into the first request only.
func faultOnce(f requesttest.Fault) func(string, executor.Request) requesttest.Fault {
	var used atomic.Bool
	return func(string, executor.Request) requesttest.Fault {
		if used.Swap(true) {
			return requesttest.NoFault
		}
		return f
	}
}

// faultFor injects a fault into every request with the key.
func faultFor(key string, f requesttest.Fault) func(string, executor.Request) requesttest.Fault {
	return func(_ string, req executor.Request) requesttest.Fault {
		if req.Header.Get(requesttest.KeyHeader) == key {
			return f
		}
		return requesttest.NoFault
	}
}
