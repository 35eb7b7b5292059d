package httponce

import (
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"
)

// slowConn is a connection whose writes block until the test allows them.
type slowConn struct {
	net.Conn
	entered     chan struct{}
	writeResult chan error
	bytes       int
}

func (c *slowConn) Write(b []byte) (int, error) {
	c.entered <- struct{}{}
	if err := <-c.writeResult; err != nil {
		return 0, err
	}
	c.bytes += len(b)
	return len(b), nil
}

func TestBlockWrites(t *testing.T) {
	newConn := func() (*slowConn, *countingConn) {
		s := &slowConn{entered: make(chan struct{}), writeResult: make(chan error, 1)}
		return s, &countingConn{Conn: s}
	}
	write := func(c *countingConn) chan error {
		done := make(chan error, 1)
		go func() {
			_, err := c.Write([]byte("POST"))
			done <- err
		}()
		return done
	}
	t.Run("a write in progress counts", func(t *testing.T) {
		is := is.New(t)
		s, c := newConn()
		done := write(c)
		<-s.entered
		is.True(c.blockWrites())
		s.writeResult <- nil
		is.NoErr(<-done)
	})
	t.Run("a write after blockWrites is not passed on", func(t *testing.T) {
		is := is.New(t)
		s, c := newConn()
		is.True(!c.blockWrites())
		s.writeResult <- nil
		select {
		case err := <-write(c):
			is.True(errors.Is(err, errWritesBlocked))
		case <-s.entered:
			is.Fail() // the write was passed on
		}
		is.Equal(s.bytes, 0)
	})
	t.Run("a write that wrote nothing does not count", func(t *testing.T) {
		is := is.New(t)
		s, c := newConn()
		done := write(c)
		<-s.entered
		s.writeResult <- errors.New("broken pipe")
		is.True(<-done != nil)
		is.True(!c.blockWrites())
	})
	t.Run("the next request starts as not written", func(t *testing.T) {
		is := is.New(t)
		s, c := newConn()
		done := write(c)
		<-s.entered
		s.writeResult <- nil
		is.NoErr(<-done)
		c.resetWritten()
		is.True(!c.blockWrites())
	})
}
