// Package ledger is what the holder of a partition writes to the platform's
// store: its claim, and then one transaction after the other, each on condition
// that the claim still stands and that the one before it took effect.
//
// So a process whose partition was claimed by another can write nothing any
// more, and a transaction whose answer was lost can be sent again: of all its
// copies, however late they arrive, one takes effect.
package ledger

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pulleyquay/internal/platform"
	"pulleyquay/internal/platform/resend"
)

// HolderPrefix is where the holders of the partitions stand in the store.
const HolderPrefix = "cell/holders/"

// chainPrefix is where each holder's chain of transactions stands. It is apart
// from the claim, which others watch.
const chainPrefix = "chain/"

// Errors of a ledger.
var (
	// ErrDeposed: another process has claimed the partition.
	ErrDeposed = errors.New("ledger: the partition has another holder")
	// ErrRaced: the claim found another claim than it was told.
	ErrRaced = errors.New("ledger: another claim came first")
)

// Holder is the record of who holds a partition.
type Holder struct {
	Partition int `cbor:"1,keyasint"`
	// Epoch grows with each claim; hosts refuse orders of a lower one.
	Epoch uint64 `cbor:"2,keyasint"`
	Name  string `cbor:"3,keyasint"`
	// Incarnation tells the runs of one process apart.
	Incarnation string `cbor:"4,keyasint"`
	// Addr is where the holder's peers reach it.
	Addr string `cbor:"5,keyasint"`
	// Revision is that of the record in the store; it is not stored.
	Revision platform.Revision `cbor:"-"`
}

// HolderKey returns the key of a partition's holder.
func HolderKey(partition int) string { return HolderPrefix + strconv.Itoa(partition) }

// DecodeHolder reads a holder's record.
func DecodeHolder(rec platform.Record) (Holder, error) {
	var h Holder
	if err := cbor.Unmarshal(rec.Value, &h); err != nil {
		return Holder{}, fmt.Errorf("record %s: %w", rec.Key, err)
	}
	h.Revision = rec.ModRevision
	return h, nil
}

// link is the value of a chain's key: the transaction that wrote it last.
type link struct {
	Epoch    uint64 `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// MaxWrites is how many writes one Commit may have: the platform takes 32
// entries, of which the claim's and the chain's conditions and the chain's write
// are three.
const MaxWrites = 29

// Ledger writes for one holder. Commit is for one goroutine at a time.
type Ledger struct {
	store *resend.Sender
	self  Holder

	chain    platform.Revision
	sequence uint64

	mu sync.Mutex
	// proved is when the last transaction that took effect was first sent.
	proved time.Time
}

// Claim makes self the holder after seen, which is the zero Holder when there
// was none. It returns ErrRaced with the present holder when seen is no longer
// the record, and platform.ErrUnavailable when nothing is known to have happened.
func Claim(ctx context.Context, store *resend.Sender, seen, self Holder) (*Ledger, Holder, error) {
	self.Epoch = seen.Epoch + 1
	value, err := cbor.Marshal(self)
	if err != nil {
		return nil, Holder{}, err
	}
	l := &Ledger{store: store, self: self}
	txn := platform.Txn{
		If:   []platform.Condition{{Key: HolderKey(self.Partition), ModRevision: seen.Revision}},
		Then: []platform.Write{{Key: HolderKey(self.Partition), Value: value}, l.chainWrite()},
	}
	sent := time.Now()
	reply, err := l.settle(ctx, txn)
	if err != nil {
		return nil, Holder{}, err
	}
	if reply.Applied {
		l.begin(reply.Revision, sent)
		return l, l.self, nil
	}
	return l.claimed(reply.Found, sent)
}

// claimed reads who holds the partition after a claim that was refused: this
// process itself when an earlier copy of the claim took effect.
func (l *Ledger) claimed(found []platform.Record, sent time.Time) (*Ledger, Holder, error) {
	if len(found) == 0 {
		return nil, Holder{}, ErrRaced
	}
	present, err := DecodeHolder(found[0])
	if err != nil {
		return nil, Holder{}, err
	}
	if present.Incarnation != l.self.Incarnation || present.Epoch != l.self.Epoch {
		return nil, present, ErrRaced
	}
	l.begin(found[0].ModRevision, sent)
	return l, l.self, nil
}

func (l *Ledger) begin(at platform.Revision, sent time.Time) {
	l.self.Revision, l.chain, l.proved = at, at, sent
}

// Holder returns the claim that this ledger writes under.
func (l *Ledger) Holder() Holder { return l.self }

// Proved is when this process surely was the holder last: when the last
// transaction that took effect was sent.
func (l *Ledger) Proved() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.proved
}

// Commit applies the writes, at most MaxWrites, unless the partition has another
// holder. It returns ErrDeposed, platform.ErrRefused for writes that the store
// never takes, or ctx's error; after the latter the writes may or may not have
// taken effect, and the ledger can not be used any more.
func (l *Ledger) Commit(ctx context.Context, writes []platform.Write) error {
	l.sequence++
	txn := platform.Txn{
		If: []platform.Condition{
			{Key: HolderKey(l.self.Partition), ModRevision: l.self.Revision},
			{Key: l.chainKey(), ModRevision: l.chain},
		},
		Then: append([]platform.Write{l.chainWrite()}, writes...),
	}
	sent := time.Now()
	reply, err := l.settle(ctx, txn)
	if err != nil {
		return err
	}
	at := reply.Revision
	if !reply.Applied {
		if at, err = l.applied(reply.Found); err != nil {
			return err
		}
	}
	l.chain = at
	l.mu.Lock()
	l.proved = sent
	l.mu.Unlock()
	return nil
}

// applied returns the revision at which an earlier copy of the present
// transaction took effect, or ErrDeposed.
func (l *Ledger) applied(found []platform.Record) (platform.Revision, error) {
	var at platform.Revision
	for _, rec := range found {
		switch rec.Key {
		case HolderKey(l.self.Partition):
			if rec.ModRevision != l.self.Revision {
				return 0, ErrDeposed
			}
		case l.chainKey():
			var last link
			if err := cbor.Unmarshal(rec.Value, &last); err != nil {
				return 0, fmt.Errorf("record %s: %w", rec.Key, err)
			}
			if last == (link{l.self.Epoch, l.sequence}) {
				at = rec.ModRevision
			}
		}
	}
	if at == 0 {
		return 0, ErrDeposed
	}
	return at, nil
}

// settle sends a transaction until it is answered or ctx ends.
func (l *Ledger) settle(ctx context.Context, txn platform.Txn) (platform.TxnReply, error) {
	reply, err := l.store.Commit(ctx, txn, nil)
	if err != nil && !errors.Is(err, platform.ErrRefused) && ctx.Err() != nil {
		err = ctx.Err()
	}
	return reply.TxnReply, err
}

func (l *Ledger) chainKey() string { return ChainKey(l.self.Partition) }

func (l *Ledger) chainWrite() platform.Write {
	value, _ := cbor.Marshal(link{l.self.Epoch, l.sequence}) // numbers always encode
	return platform.Write{Key: l.chainKey(), Value: value}
}

// ChainKey returns the key that the holder of a partition writes with each
// transaction.
func ChainKey(partition int) string { return chainPrefix + strconv.Itoa(partition) }
