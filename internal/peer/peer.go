// Package peer is the link between the project's own processes: typed CBOR
// messages over one WebSocket a pair, each with its request's id and length.
package peer

import "context"

// Kind numbers a message of the peer protocol; docs/PEER-PROTOCOL.md lists all.
type Kind uint16

// The message kinds. A number is never reused for another message.
const (
	KindHello     Kind = 1 // version, name, incarnation
	KindHeartbeat Kind = 2 // placer to placer: right, capacity digest, revisions
	KindView      Kind = 3 // long poll for a newer table
	KindSettings  Kind = 4 // the settings tree newer than a revision
	KindHandOver  Kind = 5 // a partition's state to its next holder
	KindFence     Kind = 6 // claimant to voter: no more promises to a session

	KindServe    Kind = 10 // entry to home: one caller's request
	KindDispatch Kind = 11 // home to a holder with free slots
	KindCancel   Kind = 12 // a caller went away

	KindSettingsChange  Kind = 20 // an operator's change
	KindSettingsHistory Kind = 21
	KindMembers         Kind = 22
	KindWorkers         Kind = 23

	KindJobSubmit Kind = 30 // entry to the team's home
	KindJobGet    Kind = 31
	KindJobList   Kind = 32
	KindJobCancel Kind = 33
	KindJobUpdate Kind = 34 // change a service

	KindPlace     Kind = 40 // home to a holder of workers: place tasks
	KindGangHold  Kind = 41
	KindGangEnd   Kind = 42 // start or release a held gang
	KindStopTasks Kind = 43
	KindTaskNews  Kind = 44 // holder of workers to home: runs ended or lost
	KindInventory Kind = 45 // home to a holder: what runs of my partition

	KindBeat      Kind = 50 // member to holder: are you there
	KindOpinion   Kind = 51 // member to member: when did you hear the holder
	KindSucceed   Kind = 52 // leaving holder to its successor: claim now
	KindCatalog   Kind = 53 // the configuration newer than a version
	KindAccepted  Kind = 54 // accepting member to holder: a stored job
	KindState     Kind = 55 // a job's state
	KindCancelJob Kind = 56 // end a job
	KindPending   Kind = 57 // jobs of a queue that have not begun
	KindAdvise    Kind = 58 // holder to member: ask the policy service
	KindStoreJob  Kind = 59 // member without the store to another: store this job

	KindHostCalls  Kind = 60 // holder to link shard: calls to hosts
	KindHostReport Kind = 61 // link shard to holder: how they ended
)

// Caller makes calls to other processes. Errors are *result.Error: a failure
// with code PeerNotReached promises that no byte was sent, one with PeerLost
// leaves the outcome unknown, anything else came from the handler.
type Caller interface {
	// Call sends req to the process at addr and decodes its answer into resp.
	// Cancelling ctx tells the other side, whose handler's ctx ends too.
	Call(ctx context.Context, addr string, kind Kind, req, resp any) error
}
