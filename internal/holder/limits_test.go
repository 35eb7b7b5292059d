package holder

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"pulleyquay/internal/overload"
)

// TestAdmissionIsReported guards against a metric that leaves out the account with the most waiting work, grows with the
// number of accounts, or keeps the figures of an account that sends nothing any more.
func TestAdmissionIsReported(t *testing.T) {
	is := is.New(t)
	m := NewMetrics(prometheus.NewRegistry())
	var rows []overload.Row
	for i := range maxAccountMetrics + 8 {
		rows = append(rows, overload.Row{Key: overload.Key{Queue: "q", Account: fmt.Sprint("a", i)}, Admit: 0.25, WaitMillis: 4500})
	}
	m.reportAdmission(rows)
	const perAccount = 7
	is.Equal(testutil.CollectAndCount(m.admission), perAccount*maxAccountMetrics)
	is.Equal(testutil.ToFloat64(m.admission.WithLabelValues("q", "a0", admissionFraction)), 0.25)
	is.Equal(testutil.ToFloat64(m.admission.WithLabelValues("q", "a0", admissionWait)), 4.5)
	m.reportAdmission(rows[:1])
	is.Equal(testutil.CollectAndCount(m.admission), perAccount)
	m.reportAdmission(nil)
	is.Equal(testutil.CollectAndCount(m.admission), 0)
}

// TestNoLimitsWithoutAHolder: a process that does not hold the partition reports none.
func TestNoLimitsWithoutAHolder(t *testing.T) {
	is := is.New(t)
	is.True((&Table{}).Limits(0, time.Now()) == nil)
	table := &Table{holders: map[int]*Holder{0: {}}}
	is.True(table.Limits(0, time.Now()) == nil) // no sample yet
}
