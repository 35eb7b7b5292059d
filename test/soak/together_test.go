package soak

import (
	"fmt"
	"sync"
	"time"

	"pulleyquay/platform/fake"
)

// failTogether has a fifth to a third of the hosts fail at once every two to four seconds,
// until the deadline.
func (s *faultSeries) failTogether(begun, deadline time.Time) {
	var failing sync.WaitGroup
	for time.Now().Before(deadline) {
		all := s.c.platform.Hosts()
		n := len(all)/5 + s.l.intn(len(all)/3-len(all)/5+1)
		s.injected = append(s.injected, fmt.Sprintf("%v %d hosts fail at once", time.Since(begun).Round(time.Millisecond), n))
		for range n {
			h := s.l.host()
			failing.Go(func() { s.failAndRecover(h) })
		}
		time.Sleep(time.Duration(2000+s.l.intn(2000)) * time.Millisecond)
	}
	failing.Wait()
}

// failAndRecover has one host fail in one of several ways and recover.
func (s *faultSeries) failAndRecover(h *fake.HostServer) {
	pause := func() { time.Sleep(time.Duration(s.l.intn(2500)) * time.Millisecond) }
	switch s.l.intn(8) {
	case 0:
		replace := s.powerOff(h)
		pause()
		replace()
	case 1:
		h.Restart()
	case 2:
		h.RestartAfterPowerLoss()
	case 3:
		reconnect := disconnect(h)
		pause()
		reconnect()
	default:
		h.SetDisconnected(true)
		pause()
		reconnect := restartDisconnected(h)
		pause()
		reconnect()
	}
}
