package hold

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/result"
	"pulleyquay/internal/view"
)

func TestConfigRefusesWhatDoesNotFit(t *testing.T) {
	tests := map[string]func(*Config){
		"Term":        func(c *Config) { c.Term = 2500 * time.Millisecond },
		"ClockMargin": func(c *Config) { c.ClockMargin = 0 },
		"OutageLimit": func(c *Config) { c.OutageLimit = time.Second },
		"Renew":       func(c *Config) { c.Renew = 2 * time.Second },
		"Heartbeat":   func(c *Config) { c.Heartbeat = 2 * time.Second },
		"Suspect":     func(c *Config) { c.Suspect = c.Heartbeat },
		"BackoffMax":  func(c *Config) { c.BackoffMax = 0 },
		"Spread":      func(c *Config) { c.Spread = -1 },
		"Partitions":  func(c *Config) { c.Partitions = 0 },
	}
	is := is.New(t)
	is.NoErr(DefaultConfig().Check())
	for field, breakField := range tests {
		c := DefaultConfig()
		breakField(&c)
		err := c.Check()
		is.Equal(result.CodeOf(err), result.BadInput)
		is.Equal(result.From(err).Field, field)
	}
	is.Equal(result.From(checkSelf(view.Member{Name: "a/b", Addr: "x"})).Field, "Name")
	is.Equal(result.From(checkSelf(view.Member{Name: "a"})).Field, "Addr")
	is.NoErr(checkSelf(view.Member{Name: "a", Addr: "x"}))
}
