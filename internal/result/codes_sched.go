package result

import "net/http"

// Codes of the scheduler's recorded state and of its placement decisions (5100 to 5199).
const (
	WorkerUnknown      Code = 5100
	WorkerFull         Code = 5101
	WorkerClosed       Code = 5102
	RunAlreadyRecorded Code = 5103
	RunUnknown         Code = 5104
	NeverFits          Code = 5105
	NoCapacity         Code = 5106
	QuotaExceeded      Code = 5107
	QuotaTooSmall      Code = 5108
	JobFaulty          Code = 5109
)

func init() {
	register(
		Info{WorkerUnknown, "worker-unknown", http.StatusNotFound, "the holder has no such worker"},
		Info{WorkerFull, "worker-full", http.StatusServiceUnavailable, "the run would take the worker over its size"},
		Info{WorkerClosed, "worker-closed", http.StatusServiceUnavailable, "the worker takes no new runs now"},
		Info{RunAlreadyRecorded, "run-booked", http.StatusConflict, "the run is in the books already"},
		Info{RunUnknown, "run-unknown", http.StatusNotFound, "the run is not in the books"},
		Info{NeverFits, "never-fits", http.StatusUnprocessableEntity, "no worker could hold the task even if empty"},
		Info{NoCapacity, "no-room", http.StatusServiceUnavailable, "no worker has room for the task now"},
		Info{QuotaExceeded, "quota-exceeded", http.StatusTooManyRequests, "the team's quota is in use"},
		Info{QuotaTooSmall, "quota-too-small", http.StatusUnprocessableEntity, "the team's whole quota is smaller than the job needs at once"},
		Info{JobFaulty, "job-faulty", http.StatusUnprocessableEntity, "the job failed on different workers and is stopped"},
	)
}
