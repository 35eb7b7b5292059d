package catalog

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"

	"pulleyquay/internal/fairshare"
)

// KeyDigest is the SHA-256 digest of a key. Keys themselves aren't stored, so that none can appear in a dump, a log or
// a message between processes.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String returns a constant, so that a KeyDigest that is printed to a log doesn't show the digest.
func (KeyDigest) String() string { return "(hidden)" }

// Account is a client account, which owns jobs and keys and has a quota.
type Account struct {
	Name string `cbor:"1,keyasint"`
	// Keys holds the digests of the keys with which its callers authenticate.
	Keys []KeyDigest `cbor:"2,keyasint,omitempty"`
	// Weight is the account's share when capacity is exhausted, relative to other accounts. See Catalog.Weighted.
	Weight float64 `cbor:"3,keyasint,omitempty"`
	// Quota bounds the resources of the account's running jobs, over all hosts.
	Quota fairshare.Quota `cbor:"4,keyasint"`
}

// indexAccounts builds the indexes of accounts by name and by key. A key that several accounts have belongs to the
// first of them.
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

// defaultWeight is the weight of accounts that have none, and of the work of no account.
const defaultWeight = 1.0

// Weighted reports whether any account has a weight. Without weights, work isn't ordered by the shares of accounts.
func (c *Catalog) Weighted() bool {
	return c != nil && slices.ContainsFunc(c.Accounts, func(a Account) bool { return a.Weight > 0 })
}

// WeightOf returns the weight of an account. It is 1 if the account has none, isn't configured, or has no name.
func (c *Catalog) WeightOf(name string) float64 {
	if a := c.Account(name); a != nil && a.Weight > 0 {
		return a.Weight
	}
	return defaultWeight
}

// AccountOf returns the account that a key belongs to, or nil when the key isn't valid. Its duration reveals nothing
// about a key, since it looks up the key's digest.
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
