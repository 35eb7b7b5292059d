package result

import "net/http"

// Codes of jobs and of their home partitions (5000 to 5099).
const (
	JobIDReused       Code = 5000
	JobNeverFits      Code = 5001
	JobBranchUnknown  Code = 5002
	JobNotRecorded    Code = 5003
	JobRecordUnknown  Code = 5004
	JobNotFound       Code = 5005
	JobOverQuota      Code = 5006
	JobHomeRecovering Code = 5007
	JobIDTooOld       Code = 5008
	JobTooMany        Code = 5009
	JobDeadlinePassed Code = 5010
	JobAlreadyEnded   Code = 5011
	JobInvalid        Code = 5012
	JobTaskFailed     Code = 5013
	JobCancelled      Code = 5014
	JobHomeMoved      Code = 5015
	JobChanged        Code = 5016
)

func init() {
	register(
		Info{JobIDReused, "job-id-reused", http.StatusConflict, "a job with this identifier but another specification was accepted before"},
		Info{JobNeverFits, "job-never-fits", http.StatusUnprocessableEntity, "no worker could hold a task even if it were empty"},
		Info{JobBranchUnknown, "job-branch-unknown", http.StatusUnprocessableEntity, "the job names a branch that the settings do not have"},
		Info{JobNotRecorded, "job-not-recorded", http.StatusServiceUnavailable, "the store did not take the job's record; the job was not accepted"},
		Info{JobRecordUnknown, "job-record-unknown", http.StatusServiceUnavailable, "the store may have taken the job's record; submit again with the same identifier to learn it"},
		Info{JobNotFound, "job-not-found", http.StatusNotFound, "no home knows a job with this identifier"},
		Info{JobOverQuota, "job-over-quota", http.StatusUnprocessableEntity, "the job alone asks for more than its team's quota"},
		Info{JobHomeRecovering, "job-home-recovering", http.StatusServiceUnavailable, "the home of the team's jobs is taking over and does not know all of them yet"},
		Info{JobIDTooOld, "job-id-too-old", http.StatusUnprocessableEntity, "the identifier was minted too long ago to tell whether it was used"},
		Info{JobTooMany, "job-too-many", http.StatusTooManyRequests, "the home holds as many jobs as it may"},
		Info{JobDeadlinePassed, "job-deadline-passed", http.StatusUnprocessableEntity, "the job's deadline passed before its work could end"},
		Info{JobAlreadyEnded, "job-already-ended", http.StatusConflict, "the job has ended and can not be cancelled or changed"},
		Info{JobInvalid, "job-invalid", http.StatusUnprocessableEntity, "the job's specification is not valid"},
		Info{JobTaskFailed, "job-task-failed", http.StatusUnprocessableEntity, "a task failed as often as its branch allows"},
		Info{JobCancelled, "job-cancelled", http.StatusOK, "the job was cancelled"},
		Info{JobHomeMoved, "job-home-moved", http.StatusServiceUnavailable, "the home of the team's jobs has moved to another process"},
		Info{JobChanged, "job-changed", http.StatusConflict, "the job was changed since the generation that the request names"},
	)
}
