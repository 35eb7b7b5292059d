package httponce_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/httponce"
)

// TestNotSentIsNeverSeen cancels requests at random moments while the server closes connections at
// others. No request that failed as not sent may have been received by the server, and none may
// have been received twice.
func TestNotSentIsNeverSeen(t *testing.T) {
	const (
		senders = 8
		each    = 60
		seed    = 7
	)
	is := is.New(t)
	var mu sync.Mutex
	seen := map[string]int{}
	random := rand.New(rand.NewPCG(seed, seed))
	s := serve(t, func(_ int64, c net.Conn, r *http.Request) bool {
		mu.Lock()
		seen[r.Header.Get("Idempotency-Key")]++
		drop := random.IntN(4) == 0
		mu.Unlock()
		if !drop {
			ok(c, "")
		}
		return !drop
	})
	c := httponce.New(httponce.Options{MaxConns: senders / 2})
	notSent := make([][]string, senders)
	var wg sync.WaitGroup
	for i := range senders {
		wg.Go(func() {
			own := rand.New(rand.NewPCG(seed, uint64(i)))
			for n := range each {
				key := strconv.Itoa(i) + "/" + strconv.Itoa(n)
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(own.IntN(800))*time.Microsecond)
				req := request("POST")
				req.Header.Set("Idempotency-Key", key)
				_, err := c.Do(ctx, s.addr, req, []byte("ticket"), limit)
				cancel()
				var f *httponce.Failure
				if errors.As(err, &f) && !f.Sent {
					notSent[i] = append(notSent[i], key)
				}
			}
		})
	}
	wg.Wait()
	c.Close()
	mu.Lock()
	defer mu.Unlock()
	for _, list := range notSent {
		for _, key := range list {
			is.Equal(seen[key], 0) // reported as not sent
		}
	}
	for _, n := range seen {
		is.True(n == 1)
	}
}
