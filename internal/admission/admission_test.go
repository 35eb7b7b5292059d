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
		store       admission.Store
		unavailable bool
	}{
		"idle":                             {admission.Store{UsualLatency: 60 * ms}, false},
		"one reply is pending":             {admission.Store{UnansweredFor: 30 * ms, UsualLatency: 60 * ms}, false},
		"sixty times slower":               {admission.Store{UnansweredFor: 300 * ms, UsualLatency: 60 * ms}, false},
		"unresponsive":                     {admission.Store{UnansweredFor: 501 * ms, UsualLatency: 60 * ms}, true},
		"as slow as usual":                 {admission.Store{UnansweredFor: 900 * ms, UsualLatency: 1200 * ms}, false},
		"slower than usual":                {admission.Store{UnansweredFor: 1300 * ms, UsualLatency: 1200 * ms}, true},
		"refuses calls briefly":            {admission.Store{FailingFor: 200 * ms, UsualLatency: 60 * ms}, false},
		"refuses calls":                    {admission.Store{FailingFor: 301 * ms, UsualLatency: 60 * ms}, true},
		"refuses calls after slow replies": {admission.Store{FailingFor: 301 * ms, UsualLatency: 1200 * ms}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(tc.store.Unavailable(), tc.unavailable) })
	}
}

func TestNext(t *testing.T) {
	available, unavailable := admission.Store{}, admission.Store{UnansweredFor: time.Second}
	tests := map[string]struct {
		job   admission.Job
		store admission.Store
		want  admission.Action
	}{
		"new job":                                    {admission.Job{}, available, admission.Try},
		"new job during an outage":                   {admission.Job{}, unavailable, admission.Relay},
		"not stored, store available":                {admission.Job{Tried: true}, available, admission.Refuse},
		"not stored, store unavailable":              {admission.Job{Tried: true}, unavailable, admission.Relay},
		"not stored by a peer either":                {admission.Job{Tried: true, Relayed: true}, unavailable, admission.Refuse},
		"store available again after a failed relay": {admission.Job{Relayed: true}, available, admission.Try},
		"outcome unknown":                            {admission.Job{Tried: true, OutcomeUnknown: true}, available, admission.ReplyUnknown},
		"outcome unknown, store unavailable":         {admission.Job{Tried: true, OutcomeUnknown: true}, unavailable, admission.Relay},
		"outcome unknown at a peer too":              {admission.Job{Tried: true, Relayed: true, OutcomeUnknown: true}, unavailable, admission.ReplyUnknown},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(admission.Next(tc.job, tc.store), tc.want) })
	}
}

// TestNextEnds checks for every sequence of store states that a job is sent to the store
// and relayed at most once each, and that a job whose outcome is unknown is never refused.
func TestNextEnds(t *testing.T) {
	for history := range 1 << 6 {
		var job admission.Job
		for i := range 3 {
			store := admission.Store{}
			if history>>i&1 == 1 {
				store.UnansweredFor = time.Second
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
			is.New(t).True(next != admission.Refuse || !job.OutcomeUnknown)
			if next == admission.Refuse || next == admission.ReplyUnknown {
				break
			}
			is.New(t).True(i < 2) // the third action ends the sequence
			job.OutcomeUnknown = job.OutcomeUnknown || history>>(i+3)&1 == 1
		}
	}
}
