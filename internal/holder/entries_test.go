package holder

import (
	"bytes"
	"fmt"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"pulleyquay/internal/host"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/memstore"
)

// TestHeartbeatsNeedNoDecisions guards against a holder whose time goes to heartbeats of hosts: of 6,000 hosts 2,000
// entries a second were decoded one by one, and each woke the decisions, though they told nothing new.
func TestHeartbeatsNeedNoDecisions(t *testing.T) {
	const hosts, beats = 300, 20
	is := is.New(t)
	store := memstore.New()
	defer store.Close()
	h, _ := newHolder(t, store, idleHosts{})
	decoded := 0
	h.cfg.DecodeHost = func(rec platform.Record) (host.Info, error) {
		decoded++
		info, err := decodeHost(rec)
		info.Addr = "10.1.1.1:80"
		return info, err
	}
	h.cfg.HeartbeatOnly = func(before, after []byte) (int64, bool) {
		addrBefore, _, _ := bytes.Cut(before, []byte("#"))
		addrAfter, number, ok := bytes.Cut(after, []byte("#"))
		seq, err := strconv.ParseInt(string(number), 10, 64)
		return seq, ok && err == nil && bytes.Equal(addrBefore, addrAfter)
	}
	beat := func(n int, from, to int) {
		var changes []platform.Change
		for i := from; i < to; i++ {
			key := fmt.Sprint(prefix, i)
			changes = append(changes, platform.Change{Record: platform.Record{Key: key, Value: fmt.Appendf(nil, "10.1.1.1:80#%d", n)}})
		}
		h.applyHostChanges(changes)
	}
	wakeUps := func() int {
		n := len(h.wake)
		for range n {
			<-h.wake
		}
		return n
	}
	beat(0, 0, hosts)
	is.Equal(wakeUps(), 1)
	is.Equal(decoded, hosts)
	woken := 0
	for n := 1; n <= beats; n++ {
		beat(n, 0, hosts)
		woken += wakeUps()
	}
	is.Equal(woken, 0)
	is.Equal(decoded, hosts)

	h.engine.DropHost("7", h.reconcileDeadline) // as when another process answers at its address
	beat(beats+1, 0, hosts)
	is.Equal(wakeUps(), 1)
	is.Equal(decoded, hosts+1)
	is.Equal(h.engine.Hosts(), hosts)
}
