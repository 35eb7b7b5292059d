package member

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/memstore"
	"pulleyquay/internal/result"
	"pulleyquay/internal/right"
	"pulleyquay/internal/view"
)

var testTimes = right.Times{Term: 3 * time.Second, Margin: 10, OutageLimit: time.Minute}

// fixture is a session with an in-memory store.
type fixture struct {
	memStore *memstore.Engine
	client   *memstore.Client
	commits  *commitFaults
	self     view.Member
	*Session
}

// commitFaults is a store client that drops the replies to the next commits.
type commitFaults struct {
	*memstore.Client
	loseReplies int
}

func (c *commitFaults) Commit(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	if c.loseReplies > 0 {
		c.loseReplies--
		c.SetFaults(memstore.Faults{LoseAnswers: 1})
	}
	return c.Client.Commit(ctx, txn)
}

func newFixture(memStore *memstore.Engine, name, incarnation string) *fixture {
	f := &fixture{memStore: memStore, client: memStore.Client(incarnation), self: view.Member{Name: name, Incarnation: incarnation, Addr: name}}
	f.commits = &commitFaults{Client: f.client}
	f.Session = NewSession(f.commits, f.self, testTimes)
	return f
}

func (f *fixture) voter() right.Voter {
	return right.Voter{Name: f.self.Name, Incarnation: f.self.Incarnation, Addr: f.self.Addr}
}

// authorityUntil returns the end of the authority in the current session, and the session.
func (f *fixture) authorityUntil() (until time.Time, session uint64) {
	f.WithAuthority(func(a *right.Authority) { until, session = a.Until(time.Now(), a.Session()), a.Session() })
	return until, session
}

// retry calls fn until it succeeds, as the renewal loop does.
func retry(ctx context.Context, is *is.I, fn func(context.Context) error) {
	is.Helper()
	for range 10 {
		callCtx, cancel := context.WithTimeout(ctx, testTimes.Term/2)
		err := fn(callCtx)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	is.Fail() // never succeeded
}

func TestSessionUnderFaults(t *testing.T) {
	other := right.Voter{Name: "b", Incarnation: "1", Addr: "b"}
	tests := []struct {
		name              string
		joinFaults        memstore.Faults
		lostCommitReplies int             // while joining
		changeFaults      memstore.Faults // while changing the voter set
		expire            bool            // the lease expires after joining, before the change
		session           uint64
	}{
		{"healthy", memstore.Faults{}, 0, memstore.Faults{}, false, 1},
		{"reply to the grant lost", memstore.Faults{LoseAnswers: 1}, 0, memstore.Faults{}, false, 1},
		{"reply to the join lost", memstore.Faults{}, 1, memstore.Faults{}, false, 1},
		{"requests lost", memstore.Faults{LoseRequests: 3}, 0, memstore.Faults{}, false, 1},
		{"reply to the change lost", memstore.Faults{}, 0, memstore.Faults{LoseAnswers: 1}, false, 1},
		{"replies to the change and its resolution lost", memstore.Faults{}, 0, memstore.Faults{LoseAnswers: 2}, false, 1},
		{"request of the change lost", memstore.Faults{}, 0, memstore.Faults{LoseRequests: 1}, false, 1},
		{"lease expired", memstore.Faults{}, 0, memstore.Faults{LoseAnswers: 1}, true, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				memStore := memstore.New()
				defer memStore.Close()
				f := newFixture(memStore, "a", "1")
				f.client.SetFaults(tt.joinFaults)
				f.commits.loseReplies = tt.lostCommitReplies
				voters := []right.Voter{f.voter()}
				retry(t.Context(), is, func(ctx context.Context) error { return f.Join(ctx, voters) })
				f.client.SetFaults(memstore.Faults{})
				if tt.expire {
					time.Sleep(2 * testTimes.Term)
					is.True(f.Renew(t.Context()) != nil)
					is.Equal(f.State(), StateLeaseLost)
					retry(t.Context(), is, func(ctx context.Context) error { return f.Join(ctx, voters) })
				}
				is.NoErr(f.Renew(t.Context()))
				until, session := f.authorityUntil()
				is.Equal(session, tt.session)
				is.True(until.After(time.Now()))

				f.client.SetFaults(tt.changeFaults)
				voters = append(voters, other)
				retry(t.Context(), is, func(ctx context.Context) error {
					if err := f.ResolveVoterChange(ctx); err != nil {
						return err
					}
					return f.SetVoters(ctx, voters)
				})
				retry(t.Context(), is, func(ctx context.Context) error { return f.ResolveVoterChange(ctx) })
				f.client.SetFaults(memstore.Faults{})
				retry(t.Context(), is, func(ctx context.Context) error { return f.SetVoters(ctx, voters) })
				is.Equal(f.voterRecord(t, is).Voters, voters)
				f.WithAuthority(func(a *right.Authority) { is.Equal(a.VoterSet(), f.voterRecord(t, is).VoterSet) })
			})
		})
	}
}

// voterRecord reads the session's voter record from the store.
func (f *fixture) voterRecord(t *testing.T, is *is.I) VoterRecord {
	records, _, err := f.memStore.Client("reader").List(t.Context(), VoterRecordKey(f.self.Name, f.self.Incarnation))
	is.NoErr(err)
	is.Equal(len(records), 1)
	entry, err := Decode(records[0])
	is.NoErr(err)
	return *entry.VoterRecord
}

func TestNameBelongsToTheActiveProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memStore := memstore.New()
		defer memStore.Close()
		older, later := newFixture(memStore, "a", "1"), newFixture(memStore, "a", "2")
		is.NoErr(older.Join(t.Context(), []right.Voter{older.voter()}))
		err := later.Join(t.Context(), []right.Voter{later.voter()})
		is.Equal(result.CodeOf(err), result.NameTaken)
		is.NoErr(older.Leave(t.Context()))
		is.NoErr(later.Join(t.Context(), []right.Voter{later.voter()}))
		is.Equal(result.CodeOf(older.Join(t.Context(), nil)), result.NameTaken)
	})
}

func TestSetLeavingIsStoredAndLeaveDeletesTheKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memStore := memstore.New()
		defer memStore.Close()
		f := newFixture(memStore, "a", "1")
		is.NoErr(f.Join(t.Context(), []right.Voter{f.voter()}))
		is.NoErr(f.SetLeaving(t.Context()))
		records, _, err := f.client.List(t.Context(), Prefix)
		is.NoErr(err)
		entry, err := Decode(records[0])
		is.NoErr(err)
		is.True(entry.Member.Leaving)
		is.NoErr(f.Leave(t.Context()))
		records, _, err = f.client.List(t.Context(), Prefix)
		is.NoErr(err)
		is.Equal(len(records), 0)
		is.Equal(f.State(), StateLeft)
	})
}
