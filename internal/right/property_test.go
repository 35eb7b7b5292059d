package right

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	propertySteps = 400
	// faultSeeds bounds the search for the effect of an injected fault.
	faultSeeds = 300
)

// TestNeverTwoHolders draws interleavings of pauses, message losses, outages, restarts and claims,
// and checks that no two processes may ever act for one partition.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(rt, label) }, injectedFault{})
		for range propertySteps {
			m.step()
			if len(m.violations) > 0 {
				rt.Fatalf("%s\n%s", m.violations[0], strings.Join(m.trace, "\n"))
			}
		}
	})
}

// runSeeded runs the model with a fixed seed until it finds a violation or has made all steps.
func runSeeded(seed uint64, steps int, v injectedFault) *model {
	rng := rand.New(rand.NewPCG(seed, 4))
	m := newModel(func(_ string, n int) int { return rng.IntN(n) }, v)
	for range steps {
		m.step()
		if len(m.violations) > 0 {
			break
		}
	}
	return m
}

// TestNeverTwoHoldersLong runs fixed seeds, and checks that authority was used, also on the basis
// of promises, and that partitions changed their holder.
func TestNeverTwoHoldersLong(t *testing.T) {
	is := is.New(t)
	var granted, promised, takenOver int
	for seed := range uint64(faultSeeds) {
		m := runSeeded(seed, 10*propertySteps, injectedFault{})
		if len(m.violations) > 0 {
			t.Fatalf("seed %d: %s\n%s", seed, m.violations[0], strings.Join(m.trace, "\n"))
		}
		granted, promised, takenOver = granted+m.granted, promised+m.promised, takenOver+m.takenOver
	}
	t.Logf("%d uses of authority, %d of them by promises; %d partitions taken over", granted, promised, takenOver)
	is.True(granted > faultSeeds)
	is.True(promised > faultSeeds)
	is.True(takenOver > faultSeeds)
}

// TestInjectedFaultsAreDetected leaves one part of the rule out at a time; the model must find two
// holders.
func TestInjectedFaultsAreDetected(t *testing.T) {
	tests := []struct {
		name          string
		injectedFault injectedFault
	}{
		{"expiry not checked", injectedFault{ignoreExpiry: true}},
		{"term counted from the reply", injectedFault{countFromReply: true}},
		{"no fence before a claim", injectedFault{skipFence: true}},
		{"fence by one voter", injectedFault{singleVoter: true}},
		{"records not confirmed in the session", injectedFault{skipConfirmation: true}},
		{"clock rates ignored", injectedFault{noClockMargin: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(10 * faultSeeds) {
				if m := runSeeded(seed, 10*propertySteps, tt.injectedFault); len(m.violations) > 0 {
					t.Logf("seed %d, step trace of %d lines: %s", seed, len(m.trace), m.violations[0])
					return
				}
			}
			t.Fatal("fault not detected")
		})
	}
}
