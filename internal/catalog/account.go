package catalog

import (
	"crypto/sha256"
	"crypto/subtle"

	"pulleyquay/internal/fairshare"
)

// KeyDigest is the SHA-256 digest of a key. Keys themselves are kept nowhere, so that
// none can get into a dump, a log or a message between processes.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String hides the digest from logs as well.
func (KeyDigest) String() string { return "(hidden)" }

// Account is a client account: whose jobs they are, and what these may take.
type Account struct {
	Name string `cbor:"1,keyasint"`
	// Keys are the digests of the keys that its callers carry.
	Keys []KeyDigest `cbor:"2,keyasint,omitempty"`
	// Weight is its share when all is full; no order of work goes by it yet.
	Weight float64 `cbor:"3,keyasint,omitempty"`
	// Quota is what its jobs may have running at once, over all hosts.
	Quota fairshare.Quota `cbor:"4,keyasint"`
}

// indexAccounts prepares the lookups of accounts.
func (c *Catalog) indexAccounts() {
	c.accounts = map[string]*Account{}
	c.keys = map[KeyDigest]*Account{}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		c.accounts[a.Name] = a
		for _, k := range a.Keys {
			if c.keys[k] == nil {
				c.keys[k] = a
			}
		}
	}
}

// Account returns the account of that name, or nil.
func (c *Catalog) Account(name string) *Account {
	if c == nil {
		return nil
	}
	return c.accounts[name]
}

// AccountOf returns the account that a key belongs to, or nil when the key is not in
// force. How long it takes tells nothing of a key: it is its digest that is looked up.
func (c *Catalog) AccountOf(key string) *Account {
	if c == nil || key == "" {
		return nil
	}
	digest := DigestOf(key)
	a := c.keys[digest]
	if a == nil {
		return nil
	}
	for _, k := range a.Keys {
		if subtle.ConstantTimeCompare(k[:], digest[:]) == 1 {
			return a
		}
	}
	return nil
}
