package e2e

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/test/e2e/harness"
)

// TestBadStart: a settings file with a mistake ends the start with a numbered
// code and the path of the field.
func TestBadStart(t *testing.T) {
	t.Parallel()
	taken := binaries.StartPlatform(t, harness.Groups(1, 1)).Addr
	cases := []struct {
		name, binary string
		settings     map[string]any
		field        string
	}{
		{"unknown name", "pulley-placer", map[string]any{"nmae": "a"}, "nmae"},
		{"number without unit", "pulley-placer", map[string]any{"holding": map[string]any{"term": 3}}, "holding.term"},
		{"port in use", "pulley-entry", map[string]any{
			"name": "a", "zone": "a", "placers": []string{"127.0.0.1:1"},
			"listen": map[string]any{"http": taken, "admin": harness.FreeAddr(t)},
		}, "listen.http"},
		{"same address twice", "pulley-entry", map[string]any{
			"name": "a", "zone": "a", "placers": []string{"127.0.0.1:1"},
			"listen": map[string]any{"http": "127.0.0.1:2", "admin": "127.0.0.1:2"},
		}, "listen.admin"},
		{"port in use", "pulley-standin", map[string]any{
			"listen": taken, "groups": harness.Groups(1, 1),
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

// TestSecondSignal: a planned stop waits for a request in flight; a second
// signal ends it at once, and the status says that something was left.
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
	is.True(e.Alive()) // the request holds the stop up
	start := time.Now()
	e.Terminate()
	is.Equal(e.Wait(5*time.Second), 1)
	is.True(time.Since(start) < 500*time.Millisecond)
	is.True(!(<-done).OK()) // that is what the second signal means
	is.Equal(len(c.Platform.Record().Keys[key]), 1)
}
