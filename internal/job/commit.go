package job

import (
	"bytes"
	"context"
	"errors"

	"pulleyquay/internal/platform"
)

// errFenced means that the partition's record has changed: another holder.
var errFenced = errors.New("job: the partition has another holder")

// conflict is returned when a record was not at the expected revision. As only
// this home writes the records of its partition, what is found is an earlier
// write of its own whose answer was lost.
type conflict struct {
	// found is the present record; its Key is empty when there is none.
	found platform.Record
}

func (c *conflict) Error() string { return "job: record " + c.found.Key + " was written before" }

// putRecord writes a job's record, provided that it is at revision base (zero: not
// there) and that this home still owns its partition, and returns its new
// revision. A nil value deletes the record. It returns errFenced, a *conflict,
// platform.ErrUnavailable (certainly not written), or another error, after which
// the outcome is unknown. The store settles lost answers as far as ctx allows
// and puts the writes of a process into few calls.
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
		reply, err = o.m.cfg.Store.Commit(ctx, txn) // a single lost request is no outage
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

// resolveRejectedPut tells why a write was not applied; a record that holds the very
// value, or is gone as wanted, was written by a call whose answer was lost.
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
