package engine

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// cohortModel starts tasks of a quarantined job on as many hosts as its cohorts admit.
type cohortModel struct {
	job   *job
	now   time.Time
	hosts []*hostState
}

// fill starts on new hosts until no more is admitted, and returns how many there were.
func (m *cohortModel) fill() int {
	n := 0
	for ; m.job.admitsHost(m.now); n++ {
		m.start()
	}
	return n
}

// start starts on a new host.
func (m *cohortModel) start() {
	h := &hostState{viewProducedAt: m.now}
	m.job.addToCohort(h, m.now)
	h.quarantinedJob, h.quarantineUntil = m.job, m.now.Add(quarantinePeriod)
	m.hosts = append(m.hosts, h)
}

// pass lets time pass; then all hosts answer but those in silent, by the order of their starts.
func (m *cohortModel) pass(d time.Duration, silent ...int) {
	m.now = m.now.Add(d)
	for i, h := range m.hosts {
		if !slices.Contains(silent, i) {
			h.viewProducedAt = m.now
		}
	}
}

// TestQuarantineCohorts checks on how many hosts a quarantined job starts at a time: on twice as many as
// before while the hosts survive, else on one.
func TestQuarantineCohorts(t *testing.T) {
	for name, play := range map[string]func(m *cohortModel, is *is.I){
		"hosts survive": func(m *cohortModel, is *is.I) {
			for _, want := range []int{1, 2, 4, 8} {
				is.Equal(m.fill(), want)
				m.pass(quarantinePeriod - time.Millisecond)
				is.Equal(m.fill(), 0)
				m.pass(time.Millisecond)
			}
		},
		"runs end before the quarantine does": func(m *cohortModel, is *is.I) {
			is.Equal(m.fill(), 1)
			m.pass(time.Second)
			m.hosts[0].quarantinedJob = nil
			is.Equal(m.fill(), 2)
		},
		"a host crashes": func(m *cohortModel, is *is.I) {
			is.Equal(m.fill(), 1)
			m.pass(quarantinePeriod)
			is.Equal(m.fill(), 2)
			m.job.cohort.crashed = true
			m.hosts[1].terminated = true
			m.pass(quarantinePeriod)
			is.Equal(m.fill(), 1)
			m.pass(quarantinePeriod)
			is.Equal(m.fill(), 2)
		},
		"a crash is noticed in the next cohort": func(m *cohortModel, is *is.I) {
			is.Equal(m.fill(), 1)
			m.pass(quarantinePeriod)
			is.Equal(m.fill(), 2)
			m.pass(quarantinePeriod)
			is.True(m.job.admitsHost(m.now))
			m.start()
			m.job.cohort.crashed = true
			is.Equal(m.fill(), 0) // three more would have been admitted
			m.pass(quarantinePeriod)
			is.Equal(m.fill(), 1)
		},
		"a host is silent at the end": func(m *cohortModel, is *is.I) {
			is.Equal(m.fill(), 1)
			m.pass(quarantinePeriod)
			is.Equal(m.fill(), 2)
			m.pass(quarantinePeriod, 2)
			is.Equal(m.fill(), 0) // its answer may come yet
			m.pass(quietPeriod, 2)
			is.Equal(m.fill(), 1)
		},
		"a host is removed without a crash": func(m *cohortModel, is *is.I) {
			is.Equal(m.fill(), 1)
			m.hosts[0].terminated, m.hosts[0].quarantinedJob = true, nil
			is.Equal(m.fill(), 1)
		},
		"calls to a host fail": func(m *cohortModel, is *is.I) {
			is.Equal(m.fill(), 1)
			m.pass(quarantinePeriod)
			m.hosts[0].unresponsiveSince = m.now
			m.pass(quietPeriod)
			is.Equal(m.fill(), 1)
		},
	} {
		t.Run(name, func(t *testing.T) { play(&cohortModel{job: &job{}, now: time.Unix(1000, 0)}, is.New(t)) })
	}
}

// TestHostsAnswerAtEndOfQuarantine checks that each cohort of an undisturbed job is twice as large as the one
// before: hosts without suspected runs hold an answer back for seconds, so they are asked.
func TestHostsAnswerAtEndOfQuarantine(t *testing.T) {
	const tasks = 12
	is := is.New(t)
	w := quarantineService(t, tasks)
	for i := tasks - 7; i < tasks; i++ {
		w.hostOfTask("web", i).RestartAfterPowerLoss()
	}
	w.run(12 * time.Second)
	is.Equal(w.running("web"), tasks)
	w.checkInvariants()
}

// TestAnyCrashEndsGrowthOfCohorts checks that a job whose hosts crash starts on one host next, also if the
// crash is not held against it.
func TestAnyCrashEndsGrowthOfCohorts(t *testing.T) {
	const tasks = 12
	is := is.New(t)
	w := quarantineService(t, tasks)
	for i := 1; i <= 2; i++ { // neither host belongs to the cohort before
		w.hostOfTask("web", tasks-i).RestartAfterPowerLoss()
		w.run(quarantineSpacing)
		is.Equal(w.running("web"), tasks)
		is.Equal(w.engine.jobs["web"].cohort.size, 1)
	}
}
