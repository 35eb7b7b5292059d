package entry

import (
	"sync"
	"sync/atomic"
)

// loads counts the requests in flight, in all and by service, so that one
// service's callers can not take all of an entry's room.
type loads struct {
	limit    int64
	total    atomic.Int64
	services sync.Map // service name to *atomic.Int64
}

// The share of the limit that one service may take.
const (
	serviceShare = 3
	shareOf      = 4
)

// enter counts a request in; false means that there is no room.
func (l *loads) enter(service string) bool {
	total, own := l.total.Add(1), l.count(service).Add(1)
	if total <= l.limit && own <= l.limit*serviceShare/shareOf {
		return true
	}
	l.leave(service)
	return false
}

// leave counts a request out.
func (l *loads) leave(service string) {
	l.total.Add(-1)
	l.count(service).Add(-1)
}

func (l *loads) count(service string) *atomic.Int64 {
	if c, ok := l.services.Load(service); ok {
		return c.(*atomic.Int64)
	}
	c, _ := l.services.LoadOrStore(service, new(atomic.Int64))
	return c.(*atomic.Int64)
}

// loadsDump is the JSON form of loads.
type loadsDump struct {
	Limit    int64            `json:"limit"`
	InFlight int64            `json:"in_flight"`
	Services map[string]int64 `json:"services"`
}

func (l *loads) dump() loadsDump {
	d := loadsDump{Limit: l.limit, InFlight: l.total.Load(), Services: map[string]int64{}}
	l.services.Range(func(name, count any) bool {
		d.Services[name.(string)] = count.(*atomic.Int64).Load()
		return true
	})
	return d
}
