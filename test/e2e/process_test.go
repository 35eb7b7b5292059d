package e2e

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/test/e2e/harness"
)

// TestBadStart checks that a process with an invalid settings file exits with a
// numbered code and the path of the field.
func TestBadStart(t *testing.T) {
	t.Parallel()
	usedAddr := binaries.StartPlatform(t, harness.Groups(1, 1)).Addr
	cases := []struct {
		name, binary string
		settings     map[string]any
		field        string
	}{
		{"unknown name", "pulley-placer", map[string]any{"nmae": "a"}, "nmae"},
		{"number without unit", "pulley-placer", map[string]any{"holding": map[string]any{"term": 3}}, "holding.term"},
		{"port in use", "pulley-entry", map[string]any{
			"name": "a", "zone": "a", "placers": []string{"127.0.0.1:1"},
			"listen": map[string]any{"http": usedAddr, "admin": harness.FreeAddr(t)},
		}, "listen.http"},
		{"same address twice", "pulley-entry", map[string]any{
			"name": "a", "zone": "a", "placers": []string{"127.0.0.1:1"},
			"listen": map[string]any{"http": "127.0.0.1:2", "admin": "127.0.0.1:2"},
		}, "listen.admin"},
		{"port in use", "pulley-standin", map[string]any{
			"listen": usedAddr, "groups": harness.Groups(1, 1),
		}, "listen"},
	}
	for _, k := range cases {
		t.Run(k.binary+" "+k.name, func(t *testing.T) {
			is := is.New(t)
			p := binaries.Run(t, k.binary, "bad", k.settings)
			is.Equal(p.Wait(10*time.Second), 2)
			is.True(strings.Contains(p.Log(), `"field":"`+k.field+`"`))
			is.True(strings.Contains(p.Log(), `"code":70`))
		})
	}
}

// TestSecondSignal checks that a planned stop waits for a request in flight, and that
// a second signal ends the process at once with an exit status for unfinished work.
func TestSecondSignal(t *testing.T) {
	is := is.New(t)
	c := startCell(t)
	key := harness.NewKey()
	done := make(chan harness.Reply, 1)
	go func() { done <- c.Post(c.Hosts[0], key, key, 1500*time.Millisecond) }()
	harness.Eventually(t, harness.ReadyLimit, "request runs", func() error {
		if len(c.Platform.Record().Keys[key]) == 0 {
			return errNotYet
		}
		return nil
	})
	e := c.Hosts[0].Entry
	e.Terminate()
	harness.Eventually(t, 2*time.Second, "readiness is withdrawn", func() error {
		if c.Hosts[0].EntryReady() {
			return errNotYet
		}
		return nil
	})
	is.True(e.Alive()) // the stop waits for the request
	start := time.Now()
	e.Terminate()
	is.Equal(e.Wait(5*time.Second), 1)
	is.True(time.Since(start) < 500*time.Millisecond)
	is.True(!(<-done).OK()) // the second signal abandons the request
	is.Equal(len(c.Platform.Record().Keys[key]), 1)
}
