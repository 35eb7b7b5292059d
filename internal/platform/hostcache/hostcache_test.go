package hostcache

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/platform"
)

type fakeList struct {
	mu    sync.Mutex
	hosts []platform.Host
	err   error
}

func (f *fakeList) Hosts(context.Context) ([]platform.Host, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts, f.err
}

func (f *fakeList) set(hosts []platform.Host, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts, f.err = hosts, err
}

func TestLastListStaysDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		list := &fakeList{err: errors.New("down")}
		c := New(list, time.Second, prometheus.NewRegistry(), logrus.NewEntry(logrus.New()))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go c.Run(ctx)
		synctest.Wait()
		is.Equal(len(c.NotReadyReasons()), 1)

		list.set([]platform.Host{{Name: "w1"}}, nil)
		time.Sleep(2 * time.Second)
		is.Equal(len(c.Hosts()), 1)

		list.set(nil, errors.New("down"))
		time.Sleep(time.Minute)
		is.Equal(len(c.Hosts()), 1)
		is.Equal(len(c.NotReadyReasons()), 0)
	})
}
