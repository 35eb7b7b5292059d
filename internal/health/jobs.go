package health

import (
	"slices"
	"time"

	"pulleyquay/internal/result"
)

// Jobs follows the failing jobs of one home. Only jobs with a failure on
// record take memory.
type Jobs struct {
	config Config
	jobs   map[string]map[string]time.Time // job to worker to last failure
}

// NewJobs returns a tracker without failures.
func NewJobs(config Config) *Jobs {
	return &Jobs{config: config, jobs: map[string]map[string]time.Time{}}
}

// Failed notes that a task of the job failed on the worker. It returns an error
// with code JobFaulty, the reason for which the job is to be stopped, once the
// job has failed on enough different workers.
func (j *Jobs) Failed(job, worker string, now time.Time) *result.Error {
	failed := j.jobs[job]
	if failed == nil {
		failed = map[string]time.Time{}
		j.jobs[job] = failed
	}
	failed[worker] = now
	for other, at := range failed {
		if now.Sub(at) > j.config.Window {
			delete(failed, other)
		}
	}
	if len(failed) < j.config.DifferentWorkers {
		return nil
	}
	return result.New(result.JobFaulty, result.RanYes, "failed on %d different workers within %v: %v",
		len(failed), j.config.Window, j.Avoid(job))
}

// Avoid lists the workers that the job failed on, in order of name.
func (j *Jobs) Avoid(job string) []string {
	var out []string
	for worker := range j.jobs[job] {
		out = append(out, worker)
	}
	slices.Sort(out)
	return out
}

// Acquit takes a worker out of every job's failures: it was set aside, so that
// the failures there were its own.
func (j *Jobs) ClearWorker(worker string) {
	for job, failed := range j.jobs {
		delete(failed, worker)
		if len(failed) == 0 {
			delete(j.jobs, job)
		}
	}
}

// Forget drops what is known of a job: it has ended, or a task of it ended well.
func (j *Jobs) Forget(job string) { delete(j.jobs, job) }
