package peer

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/result"
)

// TestDrainLosesNoRequest drains servers while clients call them: each call gets a
// response or was certainly not sent.
func TestDrainLosesNoRequest(t *testing.T) {
	is := is.New(t)
	for range 20 {
		s, c := newServer(t), newClient(t)
		var unknownOutcome, answered atomic.Int64
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() {
				for {
					err := c.Call(context.Background(), s.addr(), kindEcho, echo{"x"}, &echo{})
					if err == nil {
						answered.Add(1)
						continue
					}
					if result.From(err).Ran != result.RanNo {
						unknownOutcome.Add(1)
					}
					return
				}
			})
		}
		for answered.Load() < 100 {
			runtime.Gosched()
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		s.node.Drain(ctx)
		is.NoErr(ctx.Err()) // the peers acknowledged the go-away frame
		cancel()
		s.node.Close()
		callers.Wait()
		is.Equal(unknownOutcome.Load(), int64(0))
	}
}

// TestOtherCellIsRefused: processes of two cells must not exchange settings or members
// if one is configured with an address of the other cell.
func TestOtherCellIsRefused(t *testing.T) {
	is := is.New(t)
	s := newServer(t)
	c := NewNode(Hello{Name: "c", Cell: "other"}, NewMux(), discardLogger())
	t.Cleanup(c.Close)
	err := result.From(c.Call(context.Background(), s.addr(), kindEcho, echo{}, &echo{}))
	is.Equal(err.Code, result.PeerNotReached)
	is.Equal(err.Ran, result.RanNo)
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	is.Equal(len(s.node.links)+len(s.node.unindexed), 0)
}

func TestDrainWaitsForAnswers(t *testing.T) {
	s, c := newServer(t), newClient(t)
	ctx, cancel := context.WithCancel(context.Background())
	called := make(chan error, 1)
	go func() { called <- c.Call(ctx, s.addr(), kindBlock, echo{}, &echo{}) }()
	<-s.entered
	drained := make(chan struct{})
	go func() { s.node.Drain(context.Background()); close(drained) }()
	select {
	case <-drained:
		t.Fatal("drained while a request was being handled")
	case <-time.After(50 * time.Millisecond):
	}
	cancel() // ends the handler
	<-called
	<-drained
}
