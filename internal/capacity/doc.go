// Package capacity holds the benchmarks whose slopes docs/CAPACITY.md is based
// on: the bytes and time of each message between processes, the processor time
// of a call on a link and of an order to a worker, and the whole path of a
// holder from the request to place tasks to the order to the worker. It has no
// code other than tests.
package capacity
