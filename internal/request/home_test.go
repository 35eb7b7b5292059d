package request

import (
	"context"
	"encoding/binary"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"pulleyquay/internal/dispatch"
	"pulleyquay/internal/executor"
	"pulleyquay/internal/hold"
	"pulleyquay/internal/requestmsg"
	"pulleyquay/internal/requesttest"
	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
)

// echo answers each request with its body and counts the requests.
type echo struct {
	count int
	block chan struct{} // if set, answers wait until it is closed
}

// Do implements Dispatcher.
func (e *echo) Do(_ context.Context, w dispatch.Work) (executor.Answer, error) {
	if !w.BeforeSend() {
		return executor.Answer{}, result.New(result.CallerDisconnected, result.RanNo, "cancelled")
	}
	e.count++
	if e.block != nil {
		<-e.block
	}
	return executor.Answer{Status: http.StatusOK, Body: w.Request.Body}, nil
}

// fixture is a Home with one new partition.
type fixture struct {
	*Home
	echo   echo
	values settings.Values
}

func newFixture(t *testing.T, acquisition hold.Acquisition) *fixture {
	b := &fixture{values: settings.Defaults()}
	log := logrus.New()
	log.SetOutput(io.Discard)
	b.Home = New(Config{
		Authorizer: &requesttest.Authorizer{}, Dispatcher: &b.echo,
		Settings: func(string) (settings.Values, bool) { return b.values, true },
		Log:      logrus.NewEntry(log), Metrics: prometheus.NewRegistry(),
	})
	acquisition.AcquiredAt = time.Now()
	if err := b.Acquire(t.Context(), acquisition); err != nil {
		t.Fatal(err)
	}
	return b
}

// keyAt returns the n-th key minted at a time.
func keyAt(at time.Time, n byte) uuid.UUID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:], uint64(at.UnixMilli())<<16|0x7000)
	id[8], id[15] = 0x80, n
	return id
}

func (b *fixture) serve(key uuid.UUID, body string) (string, *result.Error) {
	answer, err := b.Serve(context.Background(), requestmsg.Serve{
		Service: "ledger", Key: key, Timeout: time.Second, Request: executor.Request{Method: "POST", Body: []byte(body)},
	})
	if err != nil {
		return "", result.From(err)
	}
	return string(answer.Body), nil
}

func TestKeysAreKeptForTheWindowAndNeverRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t, hold.Acquisition{NeverHeld: true})
		key := keyAt(time.Now(), 1)
		_, err := b.serve(key, "x")
		is.Equal(err, nil)
		time.Sleep(10*time.Minute - time.Second)
		body, err := b.serve(key, "x")
		is.Equal(err, nil)
		is.Equal(body, "x")
		for range 100 { // whether removed from the table or not, the key is never dispatched again
			time.Sleep(100 * time.Millisecond)
			_, err = b.serve(key, "x")
		}
		is.Equal(err.Code, result.KeyExpired)
		is.Equal(err.Ran, result.RanUnknown)
		is.Equal(b.echo.count, 1)
	})
}

func TestLongerWindowDoesNotReviveForgottenKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t, hold.Acquisition{NeverHeld: true})
		b.values.Request.KeyWindowMS = 10000
		key := keyAt(time.Now(), 1)
		_, err := b.serve(key, "x")
		is.Equal(err, nil)
		time.Sleep(20 * time.Second)
		_, err = b.serve(keyAt(time.Now(), 2), "x") // removes the first key
		is.Equal(err, nil)
		b.values.Request.KeyWindowMS = 600000
		_, err = b.serve(key, "x")
		is.Equal(err.Code, result.KeyExpired)
		is.Equal(b.echo.count, 2)
	})
}

func TestKeysAheadOfTheClock(t *testing.T) {
	cases := []struct {
		ahead time.Duration
		ran   result.Ran // empty: dispatched
	}{
		{maxKeyAhead, ""},
		{maxKeyAhead + clockMargin, result.RanUnknown}, // a host whose clock is ahead may have accepted it
		{maxKeyAhead + clockMargin + time.Millisecond, result.RanNo},
	}
	for _, tc := range cases {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newFixture(t, hold.Acquisition{NeverHeld: true})
			key := keyAt(time.Now().Add(tc.ahead), 1)
			_, err := b.serve(key, "x")
			if tc.ran == "" {
				is.Equal(err, nil)
				return
			}
			is.Equal(err.Code, result.KeyFromFuture)
			is.Equal(err.Ran, tc.ran)
			time.Sleep(err.RetryAfter)
			_, err = b.serve(key, "x") // the same key, after Retry-After
			is.Equal(err, nil)
			is.Equal(b.echo.count, 1)
		})
	}
}

func TestNewKeysAfterAFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t, hold.Acquisition{})
		_, err := b.serve(keyAt(time.Now().Add(maxKeyAhead), 1), "x")
		is.Equal(err.Code, result.KeyOutcomeUnknown) // the previous home may have accepted it
		time.Sleep(maxKeyAhead + clockMargin + time.Millisecond)
		_, err = b.serve(keyAt(time.Now(), 2), "x")
		is.Equal(err, nil)
	})
}

func TestFullTableRefusesNewKeysAndKeepsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t, hold.Acquisition{NeverHeld: true})
		b.values.Request.KeyLimit = 3
		for n := range byte(3) {
			_, err := b.serve(keyAt(time.Now(), n), "x")
			is.Equal(err, nil)
		}
		_, err := b.serve(keyAt(time.Now(), 3), "x")
		is.Equal(err.Code, result.KeyTableFull)
		is.Equal(err.Ran, result.RanNo)
		is.True(err.RetryAfter > 9*time.Minute) // until the oldest key expires
		body, err := b.serve(keyAt(time.Now(), 0), "x")
		is.Equal(err, nil)
		is.Equal(body, "x")
	})
}

func TestLargeAnswersAreNotKeptForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t, hold.Acquisition{NeverHeld: true})
		large := string(make([]byte, 1<<20))
		for n := range byte(keptAnswersLimit>>20 + 1) {
			body, err := b.serve(keyAt(time.Now(), n), large)
			is.Equal(err, nil)
			is.Equal(len(body), 1<<20)
		}
		_, err := b.serve(keyAt(time.Now(), keptAnswersLimit>>20), large)
		is.Equal(err.Code, result.AnswerNotKept)
		is.Equal(err.Ran, result.RanYes)
		time.Sleep(11 * time.Minute)
		_, err = b.serve(keyAt(time.Now(), 0), "x")
		is.Equal(err, nil)
		is.True(b.answerBytes < 1<<20) // the memory is freed at the end of the window
	})
}

func TestAnswersOfDroppedPartitionsTakeNoMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFixture(t, hold.Acquisition{NeverHeld: true})
		b.echo.block = make(chan struct{})
		got := make(chan string, 1)
		go func() {
			body, _ := b.serve(keyAt(time.Now(), 1), "answer")
			got <- body
		}()
		synctest.Wait()
		b.Drop(0)
		close(b.echo.block)
		is.Equal(<-got, "answer") // its caller still gets the answer
		is.Equal(b.answerBytes, int64(0))
	})
}

func TestUnknownOutcomeOutlivesHandovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		old := keyAt(time.Now(), 1)
		time.Sleep(time.Second)
		first := newFixture(t, hold.Acquisition{}) // acquired after the holder had failed
		time.Sleep(10 * time.Second)
		state, err := first.Release(t.Context(), 0)
		is.NoErr(err)
		second := newFixture(t, hold.Acquisition{HandedOver: true, State: state})
		_, refusal := second.serve(old, "x")
		is.Equal(refusal.Code, result.KeyOutcomeUnknown)
		is.Equal(second.echo.count, 0)
	})
}

func TestCancelledFlightSendsNothing(t *testing.T) {
	is := is.New(t)
	f := &flight{cancel: func() {}, done: make(chan struct{}), waiters: 1}
	is.True(f.leave())  // guarantees that nothing was sent
	is.True(!f.begin()) // and that nothing will be sent
	is.True(!f.join())
	f = &flight{cancel: func() {}, done: make(chan struct{}), waiters: 1}
	is.True(f.begin())
	is.True(!f.leave()) // may have been sent
}

// TestHomeWithoutSettings: a home that has just started and has no settings yet cannot state that
// a request with a key did not run.
func TestHomeWithoutSettings(t *testing.T) {
	for _, tc := range []struct {
		name string
		key  uuid.UUID
		ran  result.Ran
	}{{"no key", uuid.Nil, result.RanNo}, {"key", uuid.Must(uuid.NewV7()), result.RanUnknown}} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			b := newFixture(t, hold.Acquisition{})
			b.cfg.Settings = func(string) (settings.Values, bool) { return settings.Values{}, false }
			_, err := b.Serve(context.Background(), requestmsg.Serve{Service: "ledger", Key: tc.key, Timeout: time.Second})
			is.Equal(result.From(err).Code, result.UnknownService)
			is.Equal(result.From(err).Ran, tc.ran)
		})
	}
}
