// Package peer carries requests between the project's own processes: typed CBOR messages
// over one WebSocket connection per pair. Each frame has the request's id and the length
// of its payload.
package peer

import "context"

// Kind is the number of a message kind in the peer protocol; docs/PEER-PROTOCOL.md lists
// all kinds.
type Kind uint16

// The message kinds. A number is never reused for another message.
const (
	KindHello         Kind = 1 // version, name, incarnation
	KindHeartbeat     Kind = 2 // placer to placer: authority, capacity digest, revisions
	KindView          Kind = 3 // long poll for a newer table
	KindSettings      Kind = 4 // the settings tree newer than a revision
	KindStateTransfer Kind = 5 // previous holder to next holder: a partition's state
	KindFence         Kind = 6 // claimant to voter: make no further promises to a session

	KindServe    Kind = 10 // entry to home: one caller's request
	KindDispatch Kind = 11 // home to a holder with free slots
	KindCancel   Kind = 12 // the caller has disconnected or cancelled

	KindSettingsChange  Kind = 20 // an operator's change
	KindSettingsHistory Kind = 21
	KindMembers         Kind = 22
	KindWorkers         Kind = 23

	KindJobSubmit Kind = 30 // entry to the team's home partition
	KindJobGet    Kind = 31
	KindJobList   Kind = 32
	KindJobCancel Kind = 33
	KindJobUpdate Kind = 34 // change a service

	KindPlace       Kind = 40 // job owner to a holder of workers: place tasks
	KindGangReserve Kind = 41
	KindGangEnd     Kind = 42 // start or release a reserved gang
	KindStopTasks   Kind = 43
	KindTaskUpdates Kind = 44 // holder of workers to job owner: runs ended or lost
	KindInventory   Kind = 45 // job owner to a holder: list the runs of a partition's jobs

	KindMemberHeartbeat Kind = 50 // member to holder: heartbeat
	KindHolderStatus    Kind = 51 // member to member: when was the holder's last contact
	KindHandover        Kind = 52 // leaving holder to the next holder: claim the partition now
	KindCatalog         Kind = 53 // the configuration newer than a version
	KindJobAccepted     Kind = 54 // accepting member to holder: a job has been stored
	KindJobState        Kind = 55 // a job's state
	KindCancelJob       Kind = 56 // end a job
	KindPendingJobs     Kind = 57 // jobs of a queue that have not started
	KindPolicyQuery     Kind = 58 // holder to member: query the policy service
	KindStoreJob        Kind = 59 // member that can not reach the store to another member: store this job

	KindHostCalls  Kind = 60 // holder to link shard: make these calls to hosts
	KindHostReport Kind = 61 // link shard to holder: results of calls to hosts
)

// Caller sends requests to other processes. Its errors are *result.Error: with code
// PeerNotReached no byte was sent; with PeerLost the outcome is unknown; any other
// code was returned by the handler.
type Caller interface {
	// Call sends req to the process at addr and decodes the response into resp.
	// Cancelling ctx also cancels the ctx of the remote handler.
	Call(ctx context.Context, addr string, kind Kind, req, resp any) error
}
