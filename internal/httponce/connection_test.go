package httponce

import (
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"
)

// slowConn is a connection whose writes wait to be let through.
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
	t.Run("a write under way counts", func(t *testing.T) {
		is := is.New(t)
		s, c := newConn()
		done := write(c)
		<-s.entered
		is.True(c.blockWrites())
		s.writeResult <- nil
		is.NoErr(<-done)
	})
	t.Run("a write after the seal reaches nobody", func(t *testing.T) {
		is := is.New(t)
		s, c := newConn()
		is.True(!c.blockWrites())
		s.writeResult <- nil
		select {
		case err := <-write(c):
			is.True(errors.Is(err, errWritesBlocked))
		case <-s.entered:
			is.Fail() // it went through
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
	t.Run("the next request counts anew", func(t *testing.T) {
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
