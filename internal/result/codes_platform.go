package result

import "net/http"

// Codes of the platform's key-value service and host list (8000 to 8099).
const (
	StoreUnavailable    Code = 8000
	StoreOutcomeUnknown Code = 8001
	StoreLeaseGone      Code = 8002
	StoreCompacted      Code = 8003
	StoreBudget         Code = 8004
	StoreRefused        Code = 8005
	HostListUnavailable Code = 8010
	HostListMalformed   Code = 8011
)

func init() {
	register(
		Info{StoreUnavailable, "store-unavailable", http.StatusServiceUnavailable, "the platform's store was not reached; nothing was written"},
		Info{StoreOutcomeUnknown, "store-outcome-unknown", http.StatusGatewayTimeout, "the platform's store gave no answer; the write may have taken effect"},
		Info{StoreLeaseGone, "store-lease-gone", http.StatusConflict, "the lease in the platform's store has ended"},
		Info{StoreCompacted, "store-compacted", http.StatusGone, "the platform's store no longer holds the changes asked for"},
		Info{StoreBudget, "store-budget", http.StatusTooManyRequests, "this process's share of calls to the platform's store is used up"},
		Info{StoreRefused, "store-refused", http.StatusRequestEntityTooLarge, "beyond the limits of the platform's store; nothing was written"},
		Info{HostListUnavailable, "host-list-unavailable", http.StatusServiceUnavailable, "the platform's host list was not reached"},
		Info{HostListMalformed, "host-list-malformed", http.StatusBadGateway, "the platform's host list can not be understood"},
	)
}
