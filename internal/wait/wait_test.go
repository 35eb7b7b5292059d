package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		is.True(For(t.Context(), time.Hour))
		is.Equal(time.Since(start), time.Hour)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start = time.Now()
		is.True(!For(ctx, time.Hour))
		is.Equal(time.Since(start), time.Second)

		start = time.Now()
		is.True(Jittered(t.Context(), time.Minute))
		is.True(time.Since(start) < time.Minute)
	})
}
