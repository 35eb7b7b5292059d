package result

import "net/http"

// Codes of callers' jobs on queues, and of the cell that runs them (5200 to 5299).
const (
	QueueUnknown      Code = 5200
	JobUnknown        Code = 5201
	JobNotStored      Code = 5202
	JobStoreUnknown   Code = 5203
	HolderUnreachable Code = 5204
	JobBodyInvalid    Code = 5205
	JobNameInvalid    Code = 5206
	CatalogMissing    Code = 5207
	MethodUnknown     Code = 5208
	PolicyBusy        Code = 5209
	PolicyQueryFailed Code = 5210
	JobCannotBePlaced Code = 5211
	JobCrashesHosts   Code = 5212
	KeyUnknown        Code = 5213
	JobNameTaken      Code = 5214
	AccountQuotaSmall Code = 5215
	AccountOverloaded Code = 5216
)

func init() {
	register(
		Info{QueueUnknown, "queue-unknown", http.StatusNotFound, "no queue has this host and path"},
		Info{JobUnknown, "job-unknown", http.StatusGone, "there is no such job"},
		Info{JobNotStored, "job-not-stored", http.StatusServiceUnavailable, "the store did not take the job; it was not accepted and never runs"},
		Info{JobStoreUnknown, "job-store-unknown", http.StatusGatewayTimeout, "the store may have taken the job; send it again with the same id to learn it"},
		Info{HolderUnreachable, "holder-away", http.StatusServiceUnavailable, "the process that knows the job is not reached"},
		Info{JobBodyInvalid, "job-body-invalid", http.StatusBadRequest, "the job can not be understood"},
		Info{JobNameInvalid, "job-name-invalid", http.StatusBadRequest, "the job's id is not 16 hexadecimal digits"},
		Info{CatalogMissing, "catalog-missing", http.StatusServiceUnavailable, "this process has no configuration yet"},
		Info{MethodUnknown, "method-unknown", http.StatusMethodNotAllowed, "a job is handed in with POST, asked for with GET and cancelled with DELETE"},
		Info{PolicyBusy, "advice-busy", http.StatusTooManyRequests, "too many questions wait at the policy service"},
		Info{PolicyQueryFailed, "advice-failed", http.StatusBadGateway, "the policy service gave no usable answer"},
		Info{JobCannotBePlaced, "job-cannot-be-placed", http.StatusUnprocessableEntity, "the job's steps contradict each other or no host could hold them"},
		Info{JobCrashesHosts, "job-crashes-hosts", http.StatusUnprocessableEntity, "the hosts that started a task of the job crashed; the job was given up"},
		Info{KeyUnknown, "key-unknown", http.StatusUnauthorized, "the call carries no key that is in force, and the queue needs one"},
		Info{JobNameTaken, "job-name-taken", http.StatusConflict, "the job's id is that of another client account's job"},
		Info{AccountQuotaSmall, "account-quota-too-small", http.StatusUnprocessableEntity, "the job needs more at once than its client account may have running"},
		Info{AccountOverloaded, "account-overloaded", http.StatusTooManyRequests, "so much work of the client account waits in the queue that the job would end too late; it was not accepted and never runs"},
	)
}
