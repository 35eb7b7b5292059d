package ctl

import (
	"context"

	"pulleyquay/internal/settings"
)

// fakeChanger is a Changer that accepts and records every change.
type fakeChanger struct{ got []settings.Change }

func (c *fakeChanger) Change(_ context.Context, change settings.Change) (settings.Accepted, error) {
	c.got = append(c.got, change)
	return settings.Accepted{Revision: change.Base + 1, ChangeID: change.ID}, nil
}

func (c *fakeChanger) History(context.Context) ([]settings.Head, error) { return nil, nil }
