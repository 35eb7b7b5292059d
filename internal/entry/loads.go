package entry

import (
	"sync"
	"sync/atomic"

	"pulleyquay/internal/retrybudget"
)

// loads counts the requests in flight, in all and by service, so that one
// service's callers can not take all of an entry's room.
type loads struct {
	limit    int64
	total    atomic.Int64
	services sync.Map // service name to *serviceLoad
}

// serviceLoad is one service's share of an entry.
type serviceLoad struct {
	inFlight atomic.Int64
	budget   *retrybudget.Budget
}

// The share of the limit that one service may take.
const (
	serviceShare = 3
	shareOf      = 4
)

// enter counts a request in; false means that there is no room.
func (l *loads) enter(service string) bool {
	total, own := l.total.Add(1), l.of(service).inFlight.Add(1)
	if total <= l.limit && own <= l.limit*serviceShare/shareOf {
		return true
	}
	l.leave(service)
	return false
}

// leave counts a request out.
func (l *loads) leave(service string) {
	l.total.Add(-1)
	l.of(service).inFlight.Add(-1)
}

func (l *loads) of(service string) *serviceLoad {
	if s, ok := l.services.Load(service); ok {
		return s.(*serviceLoad)
	}
	s, _ := l.services.LoadOrStore(service, &serviceLoad{budget: retrybudget.New()})
	return s.(*serviceLoad)
}

// loadsDump is the JSON form of loads.
type loadsDump struct {
	Limit    int64            `json:"limit"`
	InFlight int64            `json:"in_flight"`
	Services map[string]int64 `json:"services"`
}

func (l *loads) dump() loadsDump {
	d := loadsDump{Limit: l.limit, InFlight: l.total.Load(), Services: map[string]int64{}}
	l.services.Range(func(name, s any) bool {
		d.Services[name.(string)] = s.(*serviceLoad).inFlight.Load()
		return true
	})
	return d
}
