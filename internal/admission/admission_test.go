package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pulleyquay/internal/admission"
)

const ms = time.Millisecond

func TestAway(t *testing.T) {
	tests := map[string]struct {
		store admission.Store
		away  bool
	}{
		"calm":                              {admission.Store{Usual: 60 * ms}, false},
		"an answer is due":                  {admission.Store{Silent: 30 * ms, Usual: 60 * ms}, false},
		"sixty times slower":                {admission.Store{Silent: 300 * ms, Usual: 60 * ms}, false},
		"silent":                            {admission.Store{Silent: 501 * ms, Usual: 60 * ms}, true},
		"as slow as it has been":            {admission.Store{Silent: 900 * ms, Usual: 1200 * ms}, false},
		"slower than it has been":           {admission.Store{Silent: 1300 * ms, Usual: 1200 * ms}, true},
		"refuses for a moment":              {admission.Store{Failing: 200 * ms, Usual: 60 * ms}, false},
		"refuses":                           {admission.Store{Failing: 301 * ms, Usual: 60 * ms}, true},
		"refuses, and was slow before that": {admission.Store{Failing: 301 * ms, Usual: 1200 * ms}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(tc.store.Away(), tc.away) })
	}
}

func TestNext(t *testing.T) {
	calm, away := admission.Store{}, admission.Store{Silent: time.Second}
	tests := map[string]struct {
		job   admission.Job
		store admission.Store
		want  admission.Step
	}{
		"a new job":                               {admission.Job{}, calm, admission.Try},
		"a new job in an outage":                  {admission.Job{}, away, admission.Relay},
		"not stored, and the store is there":      {admission.Job{Tried: true}, calm, admission.Refuse},
		"not stored, as the store is away":        {admission.Job{Tried: true}, away, admission.Relay},
		"nor by a peer":                           {admission.Job{Tried: true, Relayed: true}, away, admission.Refuse},
		"the store is back after a peer had none": {admission.Job{Relayed: true}, calm, admission.Try},
		"in doubt":                                {admission.Job{Tried: true, InDoubt: true}, calm, admission.Doubt},
		"in doubt, and the store is away":         {admission.Job{Tried: true, InDoubt: true}, away, admission.Relay},
		"in doubt at a peer too":                  {admission.Job{Tried: true, Relayed: true, InDoubt: true}, away, admission.Doubt},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(admission.Next(tc.job, tc.store), tc.want) })
	}
}

// TestNextEnds: whatever the store does meanwhile, a job is tried and relayed once
// each at the most, and a caller whose job is in doubt is never told that it is not
// accepted.
func TestNextEnds(t *testing.T) {
	for history := range 1 << 6 {
		var job admission.Job
		for step := range 3 {
			store := admission.Store{}
			if history>>step&1 == 1 {
				store.Silent = time.Second
			}
			next := admission.Next(job, store)
			if next == admission.Try {
				is.New(t).True(!job.Tried)
				job.Tried = true
			}
			if next == admission.Relay {
				is.New(t).True(!job.Relayed)
				job.Relayed = true
			}
			is.New(t).True(next != admission.Refuse || !job.InDoubt)
			if next == admission.Refuse || next == admission.Doubt {
				break
			}
			is.New(t).True(step < 2) // the third step is the last one
			job.InDoubt = job.InDoubt || history>>(step+3)&1 == 1
		}
	}
}
