package daemon

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/result"
)

// every returns the times from first to last at the given interval.
func every(interval, first, last time.Duration) []time.Duration {
	var out []time.Duration
	for at := first; at <= last; at += interval {
		out = append(out, at)
	}
	return out
}

// playAnnouncement announces a planned stop, which starts at time zero, while requests and readiness checks
// arrive at the given times. It returns how long the announcement took.
func playAnnouncement(d *Daemon, stop StopPhases, requests, checks []time.Duration) (time.Duration, error) {
	const lead = time.Minute
	start := time.Now().Add(lead)
	for _, at := range requests {
		time.AfterFunc(lead+at, func() {
			stop.Callers.mu.Lock()
			defer stop.Callers.mu.Unlock()
			stop.Callers.arrivals.add(time.Now())
		})
	}
	for _, at := range checks {
		time.AfterFunc(lead+at, func() { get(d, "/readyz") })
	}
	time.Sleep(lead)
	d.stopping.Store(true)
	err := d.announce(context.Background(), stop)
	return time.Since(start), err
}

// TestAnnouncementEndsWhenCallersAreGone checks how long the listener stays open after the signal. It stayed
// open for a fixed time, whether or not callers still came.
func TestAnnouncementEndsWhenCallersAreGone(t *testing.T) {
	const ms, s = time.Millisecond, time.Second
	const announce, limit = 300 * ms, 10 * s
	for name, tc := range map[string]struct {
		requests, checks []time.Duration
		min, max         time.Duration
	}{
		"no callers":                          {nil, nil, announce, announce},
		"no callers, checks":                  {nil, every(100*ms, -s, s), announce, announce},
		"callers of long ago":                 {every(s, -20*s, -10*s), every(5*s, -20*s, -s), announce, announce},
		"callers leave at once":               {every(10*ms, -s, 0), nil, announce, announce + goneInterval},
		"callers leave at once, checks":       {every(10*ms, -s, 0), every(50*ms, -975*ms, s), 75*ms + minQuiet, 75*ms + minQuiet + goneInterval},
		"callers come for seconds":            {every(10*ms, -s, 3*s), nil, 3*s + minQuiet, 3*s + minQuiet + goneInterval},
		"few callers come for seconds":        {every(350*ms, -7*s, 3500*ms), nil, 3500*ms + 5*350*ms, 3500*ms + 5*350*ms + goneInterval},
		"rare callers":                        {every(3*s, -30*s, 0), nil, maxQuiet, maxQuiet + goneInterval},
		"rare callers, the last one long ago": {every(3*s, -30*s, -3*s), every(s, -3*s, 3*s), announce, announce},
		"callers and checks stand still":      {append(every(10*ms, -s, 0), every(10*ms, 700*ms, 800*ms)...), append(every(50*ms, -s, -50*ms), 700*ms, 750*ms), 800*ms + minQuiet, 800*ms + minQuiet + goneInterval},
		"checks have ceased":                  {every(10*ms, -s, 0), every(50*ms, -9*s, -8*s), maxQuiet, maxQuiet + goneInterval},
		"callers never leave":                 {every(10*ms, -s, 20*s), every(s, -9*s, 20*s), limit, limit},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				stop := StopPhases{Announce: announce, AnnounceLimit: limit, Callers: newServer(nil, nil)}
				took, err := playAnnouncement(newDaemon(t), stop, tc.requests, tc.checks)
				is.NoErr(err)
				if took < tc.min || took > tc.max {
					t.Errorf("took %v, want %v to %v", took, tc.min, tc.max)
				}
			})
		})
	}
}

// TestAnnounceLimitBelowAnnounce: the shortest time of the announcement holds also if its limit is shorter.
func TestAnnounceLimitBelowAnnounce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stop := StopPhases{Announce: time.Second, AnnounceLimit: time.Millisecond, Callers: newServer(nil, nil)}
		took, err := playAnnouncement(newDaemon(t), stop, every(10*time.Millisecond, -time.Second, 5*time.Second), nil)
		is.NoErr(err)
		is.Equal(took, time.Second)
	})
}

// TestSecondSignalEndsAnnouncement: the wait for callers ends with the second signal.
func TestSecondSignalEndsAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s := newServer(nil, nil)
		s.arrivals.add(time.Now())
		err := newDaemon(t).announce(ctx, StopPhases{Announce: time.Hour, AnnounceLimit: time.Hour, Callers: s})
		is.Equal(result.CodeOf(err), result.StopTimeout)
		err = newDaemon(t).announce(ctx, StopPhases{AnnounceLimit: time.Hour, Callers: s})
		is.Equal(result.CodeOf(err), result.StopTimeout)
	})
}

// TestAnnouncementTellsWhoStillComes: the log says how many requests came after the announced time, when the
// last one did, and whether they still came at the limit.
func TestAnnouncementTellsWhoStillComes(t *testing.T) {
	for name, tc := range map[string]struct {
		until time.Duration
		want  []string
	}{
		"until they leave": {2 * time.Second, []string{`"late_requests":11,`, `"level":"info"`}},
		"at the limit":     {time.Minute, []string{`"why":"requests still arrive"`, `"last_request_ago_ms":50,"late_requests":30,"waited_ms":3000`, `"level":"warning"`}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := newDaemon(t)
				var out bytes.Buffer
				d.Log.Logger.SetLevel(logrus.InfoLevel)
				d.Log.Logger.SetOutput(&out)
				stop := StopPhases{Announce: 950 * time.Millisecond, AnnounceLimit: 3950 * time.Millisecond, Callers: newServer(nil, nil)}
				_, err := playAnnouncement(d, stop, every(100*time.Millisecond, -time.Second, tc.until), nil)
				is.NoErr(err)
				for _, want := range tc.want {
					if !strings.Contains(out.String(), want) {
						t.Errorf("no %s in %s", want, out.String())
					}
				}
			})
		})
	}
}
