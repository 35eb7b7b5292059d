// Package ledger writes the claim and the records of a partition's holder to the platform's
// store. After the claim, transactions are written in chains. Each transaction is conditional
// on the claim being current and on its predecessor in the chain having taken effect.
//
// Therefore a process can write nothing once another process has claimed its partition. A
// transaction whose reply was lost can be sent again: exactly one of its copies takes effect,
// however late they arrive.
package ledger

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"pulleyquay/internal/host"
	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/resend"
	"pulleyquay/internal/uptime"
)

// HolderPrefix is the store prefix of the holder records of all partitions.
const HolderPrefix = "cell/holders/"

// chainPrefix is the store prefix of the holders' transaction chains. The chains are separate
// from the claims, which other members watch.
const chainPrefix = "chain/"

// Chains is the number of transactions that a holder can have in flight. With a store latency
// of 0.24 s one chain writes 120 records a second, but 1,100 hosts in a burst end 330 jobs a
// second: 62% of the jobs that ended within 4 s were stored too late to be of use.
const Chains = 16

var (
	// ErrDeposed is returned once another process has claimed the partition.
	ErrDeposed = errors.New("ledger: another process has claimed the partition")
	// ErrClaimConflict is returned by Claim if the holder record is not the expected one.
	ErrClaimConflict = errors.New("ledger: claim conflict: the holder record has changed")
)

// Holder is the record of the process that holds a partition.
type Holder struct {
	Partition int `cbor:"1,keyasint"`
	// Epoch increases with each claim; hosts refuse orders with lower fencing tokens. The tokens up to the
	// next epoch are the holder's.
	Epoch uint64 `cbor:"2,keyasint"`
	Name  string `cbor:"3,keyasint"`
	// Incarnation identifies one run of the process named Name.
	Incarnation string `cbor:"4,keyasint"`
	// Addr is the holder's peer address.
	Addr string `cbor:"5,keyasint"`
	// Revision is the modification revision of the record; it is not part of the record.
	Revision platform.Revision `cbor:"-"`
}

// HolderKey returns the key of a partition's holder.
func HolderKey(partition int) string { return HolderPrefix + strconv.Itoa(partition) }

// errHolder is the error for a record that is no holder's.
var errHolder = errors.New("not a valid holder record")

// DecodeHolder decodes a holder record and sets its Revision. A record under the key of another partition is an error,
// and so is one with an epoch that no successor can exceed.
func DecodeHolder(rec platform.Record) (Holder, error) {
	var h Holder
	if err := cbor.Unmarshal(rec.Value, &h); err != nil {
		return Holder{}, fmt.Errorf("record %s: %w", rec.Key, err)
	}
	if rec.Key != HolderKey(h.Partition) || h.Epoch == 0 || h.Epoch > math.MaxUint64-host.TokensPerEpoch {
		return Holder{}, fmt.Errorf("record %s: %w: partition %d, epoch %d", rec.Key, errHolder, h.Partition, h.Epoch)
	}
	h.Revision = rec.ModRevision
	return h, nil
}

// chainRecord is the value of a chain's key. It identifies the last transaction of the chain.
type chainRecord struct {
	Epoch    uint64 `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// maxWrites bounds the writes of one transaction. The platform accepts 32 entries; the
// conditions on the claim and on the chain and the write of the chain's key take three.
const maxWrites = 29

// Ledger writes the records of one holder. Commit must not be called concurrently.
type Ledger struct {
	store *resend.Sender
	self  Holder

	chains [Chains]chain

	mu sync.Mutex
	// confirmedAt is when the last transaction that took effect was first sent, by the clock
	// of package uptime.
	confirmedAt time.Time
}

// chain is one chain of transactions: the revision of its key and the number of transactions.
type chain struct {
	revision platform.Revision
	sequence uint64
}

// Claim makes self the holder after previous, which is the zero Holder if there was none. It
// returns ErrClaimConflict with the current holder if previous is no longer the record, and
// platform.ErrUnavailable if the outcome is unknown.
func Claim(ctx context.Context, store *resend.Sender, previous, self Holder) (*Ledger, Holder, error) {
	self.Epoch = host.NextEpoch(previous.Epoch)
	value, err := cbor.Marshal(self)
	if err != nil {
		return nil, Holder{}, err
	}
	l := &Ledger{store: store, self: self}
	txn := platform.Txn{
		If:   []platform.Condition{{Key: HolderKey(self.Partition), ModRevision: previous.Revision}},
		Then: []platform.Write{{Key: HolderKey(self.Partition), Value: value}},
	}
	for i := range l.chains {
		txn.Then = append(txn.Then, l.chainWrite(i))
	}
	sent := uptime.Now()
	reply, err := l.send(ctx, txn)
	if err != nil {
		return nil, Holder{}, err
	}
	if reply.Applied {
		l.initialize(reply.Revision, sent)
		return l, l.self, nil
	}
	return l.resolveClaim(reply.Found, sent)
}

// resolveClaim determines the holder from the records found by a claim that was not applied.
// The holder is this process if an earlier copy of the claim took effect.
func (l *Ledger) resolveClaim(found []platform.Record, sent time.Time) (*Ledger, Holder, error) {
	if len(found) == 0 {
		return nil, Holder{}, ErrClaimConflict
	}
	current, err := DecodeHolder(found[0])
	if err != nil {
		return nil, Holder{}, err
	}
	if current.Incarnation != l.self.Incarnation || current.Epoch != l.self.Epoch {
		return nil, current, ErrClaimConflict
	}
	l.initialize(found[0].ModRevision, sent)
	return l, l.self, nil
}

func (l *Ledger) initialize(revision platform.Revision, sent time.Time) {
	l.self.Revision, l.confirmedAt = revision, sent
	for i := range l.chains {
		l.chains[i].revision = revision
	}
}

// Holder returns the claim that this ledger writes under.
func (l *Ledger) Holder() Holder { return l.self }

// LastConfirmed returns the last time at which this process is known to have been the holder:
// when the last transaction that took effect was sent. The duration of suspensions since then
// is subtracted from the returned time, as a holder that was suspended for longer than its
// authority lasts has been replaced in the meantime and must not give any order.
func (l *Ledger) LastConfirmed() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Add(-uptime.Since(l.confirmedAt))
}

// Commit applies the writes unless another process has claimed the partition. The writes of
// one group take effect atomically; groups may take effect separately and in any order. The
// dependent writes, at most maxWrites, take effect atomically as well, and only together with
// all groups or after them, so that whoever reads them finds the groups too.
// Commit returns ErrDeposed, platform.ErrRefused for writes that the store rejects
// permanently, or ctx's error. After an error it is unknown which writes have taken effect,
// and the ledger must not be used again.
func (l *Ledger) Commit(ctx context.Context, groups [][]platform.Write, dependent []platform.Write) error {
	txns := pack(groups)
	if len(txns) == 1 && len(txns[0])+len(dependent) <= maxWrites {
		return l.commitAll(ctx, [][]platform.Write{slices.Concat(txns[0], dependent)})
	}
	if err := l.commitAll(ctx, txns); err != nil || len(dependent) == 0 {
		return err
	}
	return l.commitAll(ctx, [][]platform.Write{dependent})
}

// commitAll commits transactions in parallel, as many at a time as there are chains.
func (l *Ledger) commitAll(ctx context.Context, txns [][]platform.Write) error {
	for len(txns) > 0 {
		n := min(len(txns), Chains)
		var commits errgroup.Group
		for i, writes := range txns[:n] {
			commits.Go(func() error { return l.commitTo(ctx, i, writes) })
		}
		if err := commits.Wait(); err != nil {
			return err
		}
		txns = txns[n:]
	}
	return nil
}

// pack combines consecutive groups into transactions of at most maxWrites writes. It returns
// at least one transaction, since an empty one also confirms the claim.
func pack(groups [][]platform.Write) [][]platform.Write {
	txns := [][]platform.Write{nil}
	for _, group := range groups {
		last := len(txns) - 1
		if len(txns[last])+len(group) > maxWrites {
			txns = append(txns, nil)
			last++
		}
		txns[last] = append(txns[last], group...)
	}
	return txns
}

// commitTo commits the next transaction of chain i.
func (l *Ledger) commitTo(ctx context.Context, i int, writes []platform.Write) error {
	c := &l.chains[i]
	c.sequence++
	txn := platform.Txn{
		If: []platform.Condition{
			{Key: HolderKey(l.self.Partition), ModRevision: l.self.Revision},
			{Key: chainKey(l.self.Partition, i), ModRevision: c.revision},
		},
		Then: append([]platform.Write{l.chainWrite(i)}, writes...),
	}
	sent := uptime.Now()
	reply, err := l.send(ctx, txn)
	if err != nil {
		return err
	}
	c.revision = reply.Revision
	if !reply.Applied {
		if c.revision, err = l.resolveCommit(i, reply.Found); err != nil {
			return err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if sent.After(l.confirmedAt) {
		l.confirmedAt = sent
	}
	return nil
}

// resolveCommit returns the revision at which an earlier copy of chain i's current
// transaction took effect, or ErrDeposed if none did.
func (l *Ledger) resolveCommit(i int, found []platform.Record) (platform.Revision, error) {
	var revision platform.Revision
	for _, rec := range found {
		switch rec.Key {
		case HolderKey(l.self.Partition):
			if rec.ModRevision != l.self.Revision {
				return 0, ErrDeposed
			}
		case chainKey(l.self.Partition, i):
			var last chainRecord
			if err := cbor.Unmarshal(rec.Value, &last); err != nil {
				return 0, fmt.Errorf("record %s: %w", rec.Key, err)
			}
			if last == (chainRecord{l.self.Epoch, l.chains[i].sequence}) {
				revision = rec.ModRevision
			}
		}
	}
	if revision == 0 {
		return 0, ErrDeposed
	}
	return revision, nil
}

// send sends a transaction, with retries, until the store replies or ctx ends.
func (l *Ledger) send(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	reply, err := l.store.Commit(ctx, txn, nil)
	if err != nil && !errors.Is(err, platform.ErrRefused) && ctx.Err() != nil {
		err = ctx.Err()
	}
	return reply.TxnReply, err
}

// chainWrite returns the write of chain i's key for its current transaction.
func (l *Ledger) chainWrite(i int) platform.Write {
	value, _ := cbor.Marshal(chainRecord{l.self.Epoch, l.chains[i].sequence}) // integers always encode
	return platform.Write{Key: chainKey(l.self.Partition, i), Value: value}
}

// ChainKey returns the key that the holder of a partition writes at least whenever it renews
// its authority.
func ChainKey(partition int) string { return chainKey(partition, 0) }

func chainKey(partition, i int) string {
	key := chainPrefix + strconv.Itoa(partition)
	if i > 0 {
		key += "/" + strconv.Itoa(i)
	}
	return key
}
