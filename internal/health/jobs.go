package health

import (
	"slices"
	"time"

	"pulleyquay/internal/result"
)

// Jobs tracks the failing jobs of one home partition. Only jobs with recorded failures take memory.
type Jobs struct {
	config Config
	jobs   map[string]map[string]time.Time // job to worker to last failure
}

// NewJobs returns a tracker without failures.
func NewJobs(config Config) *Jobs {
	return &Jobs{config: config, jobs: map[string]map[string]time.Time{}}
}

// Failed records that a task of the job failed on the worker. Once the job has failed on enough
// different workers, it returns an error with code JobFaulty, the reason for stopping the job.
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

// Avoid returns the workers that the job failed on, sorted by name.
func (j *Jobs) Avoid(job string) []string {
	var out []string
	for worker := range j.jobs[job] {
		out = append(out, worker)
	}
	slices.Sort(out)
	return out
}

// ClearWorker removes a worker from every job's failures: the worker was excluded, so the failures
// there are attributed to the worker.
func (j *Jobs) ClearWorker(worker string) {
	for job, failed := range j.jobs {
		delete(failed, worker)
		if len(failed) == 0 {
			delete(j.jobs, job)
		}
	}
}

// Forget removes a job's failures: it has ended, or a task of it has succeeded.
func (j *Jobs) Forget(job string) { delete(j.jobs, job) }
