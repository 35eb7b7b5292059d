package traffic

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

// TestBytesByPurpose checks that the bytes of a connection count for its purpose on both sides, and that
// a connection counts as open until it is closed, also if it is closed twice.
func TestBytesByPurpose(t *testing.T) {
	is := is.New(t)
	m := NewMeter()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	counted := m.ForPurpose("callers").Listener(l)
	done := make(chan error, 1)
	go func() {
		conn, err := counted.Accept()
		if err == nil {
			_, err = io.Copy(conn, io.LimitReader(conn, 5))
		}
		if err == nil {
			err = conn.Close()
		}
		done <- err
	}()
	raw, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	conn := m.ForPurpose("hosts").Conn(raw)
	_, err = conn.Write([]byte("hello"))
	is.NoErr(err)
	back, err := io.ReadAll(conn)
	is.NoErr(err)
	is.Equal(string(back), "hello")
	is.NoErr(<-done)
	is.Equal(m.Snapshot()[1], CounterState{Purpose: "hosts", In: 5, Out: 5, Units: 1, OpenConns: 1})
	is.NoErr(conn.Close())
	_ = conn.Close() // a second close changes nothing
	is.NoErr(counted.Close())
	m.ForPurpose("beats").CountMessage(0, 40)
	is.Equal(m.Snapshot(), []CounterState{
		{Purpose: "beats", Out: 40, Units: 1}, {Purpose: "callers", In: 5, Out: 5, Units: 1}, {Purpose: "hosts", In: 5, Out: 5, Units: 1},
	})
	reg := prometheus.NewRegistry()
	reg.MustRegister(m)
	n, err := testutil.GatherAndCount(reg)
	is.NoErr(err)
	is.Equal(n, 12)
}
