package soak

import (
	"fmt"
	"sync"
	"time"

	"pulleyquay/platform/fake"
)

// goTogether has a fifth to a third of the hosts go at once every two to four seconds, until
// the deadline.
func (s *storm) goTogether(begun, deadline time.Time) {
	var under sync.WaitGroup
	for time.Now().Before(deadline) {
		all := s.c.platform.Hosts()
		n := len(all)/5 + s.l.intn(len(all)/3-len(all)/5+1)
		s.said = append(s.said, fmt.Sprintf("%v %d hosts go at once", time.Since(begun).Round(time.Millisecond), n))
		for range n {
			h := s.l.host()
			under.Go(func() { s.goAndComeBack(h) })
		}
		time.Sleep(time.Duration(2000+s.l.intn(2000)) * time.Millisecond)
	}
	under.Wait()
}

// goAndComeBack has one host go, in one of the ways in which hosts go, and come back.
func (s *storm) goAndComeBack(h *fake.HostServer) {
	between := func() { time.Sleep(time.Duration(s.l.intn(2500)) * time.Millisecond) }
	switch s.l.intn(8) {
	case 0:
		end := s.powerOff(h)
		between()
		end()
	case 1:
		h.Restart()
	case 2:
		h.RestartDark()
	case 3:
		heal := cutOff(h)
		between()
		heal()
	default:
		h.Cut(true)
		between()
		heal := restartBehindCut(h)
		between()
		heal()
	}
}
