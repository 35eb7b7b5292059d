package entry

import (
	"sync"
	"sync/atomic"

	"pulleyquay/internal/retrybudget"
)

// limiter limits the requests in flight, in total and per service, so that the callers of one
// service cannot use the whole capacity of an entry.
type limiter struct {
	limit    int64
	total    atomic.Int64
	services sync.Map // service name to *serviceLoad
}

// serviceLoad is the state of one service in an entry.
type serviceLoad struct {
	inFlight atomic.Int64
	budget   *retrybudget.Budget
}

// The fraction of the limit that one service may use.
const (
	shareNumerator   = 3
	shareDenominator = 4
)

// acquire counts a new request. It returns false if a limit is exceeded.
func (l *limiter) acquire(service string) bool {
	total, own := l.total.Add(1), l.forService(service).inFlight.Add(1)
	if total <= l.limit && own <= l.limit*shareNumerator/shareDenominator {
		return true
	}
	l.release(service)
	return false
}

// release counts the end of a request.
func (l *limiter) release(service string) {
	l.total.Add(-1)
	l.forService(service).inFlight.Add(-1)
}

func (l *limiter) forService(service string) *serviceLoad {
	if s, ok := l.services.Load(service); ok {
		return s.(*serviceLoad)
	}
	s, _ := l.services.LoadOrStore(service, &serviceLoad{budget: retrybudget.New()})
	return s.(*serviceLoad)
}

// limiterDump is the JSON form of a limiter.
type limiterDump struct {
	Limit    int64            `json:"limit"`
	InFlight int64            `json:"in_flight"`
	Services map[string]int64 `json:"services"`
}

func (l *limiter) dump() limiterDump {
	d := limiterDump{Limit: l.limit, InFlight: l.total.Load(), Services: map[string]int64{}}
	l.services.Range(func(name, s any) bool {
		d.Services[name.(string)] = s.(*serviceLoad).inFlight.Load()
		return true
	})
	return d
}
