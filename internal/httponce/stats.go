package httponce

import (
	"errors"
	"io"
	"syscall"
)

// Stats are the connections of a client.
type Stats struct {
	// Open is the number of open connections, idle or in use; MostToOne is the largest number of them to
	// one address.
	Open, MostToOne int
	// TurnedAway counts the connections that their server closed before its first answer, since the client
	// was created. A server with a limit on its connections closes the ones beyond it.
	TurnedAway int64
}

// Stats returns the present numbers of connections.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Stats{TurnedAway: c.turnedAway}
	for _, p := range c.pools {
		s.Open += p.open
		s.MostToOne = max(s.MostToOne, p.open)
	}
	return s
}

// turnedAway reports whether the server has closed a connection before its first answer, as the failure of a
// request shows.
func (cn *connection) turnedAway(err error) bool {
	return !cn.answered && closedByServer(err)
}

// closedByServer reports whether a request failed because the server closed its connection.
func closedByServer(err error) bool {
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}
