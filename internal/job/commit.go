package job

import (
	"bytes"
	"context"
	"errors"

	"pulleyquay/internal/platform"
)

// errFenced means that the partition's record has changed, so another process is the holder.
var errFenced = errors.New("job: partition is held by another process")

// conflict is returned when a record was not at the expected revision. Only this job owner writes
// the records of its partition, so the record found is an earlier write of its own whose reply was
// lost.
type conflict struct {
	// found is the current record; its Key is empty when there is none.
	found platform.Record
}

func (c *conflict) Error() string {
	return "job: record " + c.found.Key + " is not at the expected revision"
}

// putRecord writes a job's record, provided that the record is at revision base (zero: does not
// exist) and that this job owner still holds its partition, and returns the new revision. A nil
// value deletes the record. It returns errFenced, a *conflict, platform.ErrUnavailable (certainly
// not written), or another error, after which the outcome is unknown. The store resolves lost
// replies within the time limit of ctx and groups concurrent writes of the process into few calls.
func (o *jobOwner) putRecord(ctx context.Context, id string, base platform.Revision, value []byte) (platform.Revision, error) {
	fence, err := o.fence()
	if err != nil {
		return 0, err
	}
	k := recordKey(o.partition, id)
	txn := platform.Txn{
		If:   []platform.Condition{fence, {Key: k, ModRevision: base}},
		Then: []platform.Write{{Key: k, Value: value, Delete: value == nil}},
	}
	reply, err := o.m.cfg.Store.Commit(ctx, txn)
	if errors.Is(err, platform.ErrUnavailable) {
		reply, err = o.m.cfg.Store.Commit(ctx, txn) // retry once: a single lost request does not mean an outage
	}
	switch {
	case err != nil:
		return 0, err
	case reply.Applied:
		o.m.metrics.records.Inc()
		return reply.Revision, nil
	}
	return resolveRejectedPut(fence, k, value, reply.Found)
}

// resolveRejectedPut determines why a write was not applied. If the record already holds the value,
// or was to be deleted and does not exist, an earlier call whose reply was lost has written it.
func resolveRejectedPut(fence platform.Condition, k string, value []byte, records []platform.Record) (platform.Revision, error) {
	var partitionRecord, found platform.Record
	for _, r := range records {
		switch r.Key {
		case fence.Key:
			partitionRecord = r
		case k:
			found = r
		}
	}
	switch {
	case partitionRecord.ModRevision != fence.ModRevision:
		return 0, errFenced
	case value == nil && found.Key == "":
		return 0, nil
	case value != nil && bytes.Equal(found.Value, value):
		return found.ModRevision, nil
	}
	return 0, &conflict{found: found}
}
