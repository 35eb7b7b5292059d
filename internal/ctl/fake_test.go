package ctl

import (
	"context"

	"pulleyquay/internal/settings"
)

// changes is a Changer that accepts everything and keeps it.
type changes struct{ got []settings.Change }

func (c *changes) Change(_ context.Context, change settings.Change) (settings.Accepted, error) {
	c.got = append(c.got, change)
	return settings.Accepted{Revision: change.Base + 1, ChangeID: change.ID}, nil
}

func (c *changes) History(context.Context) ([]settings.Head, error) { return nil, nil }
