// Package experiment measures the quality of placement: seeded arrivals of
// services, batch, gangs and accelerator work with untrue sizes, driven through
// a scheduler.Cell in one loop with a clock of its own. It has no code of its
// own and simulates no processes, messages or failures; docs/PLACEMENT.md has
// the figures.
package experiment
