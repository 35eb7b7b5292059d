// Package experiment measures the quality of placement: seeded arrivals of
// services, batch jobs, gangs and accelerator jobs whose declared sizes differ
// from their usage are placed by a scheduler.Cell in one loop with a simulated
// clock. It has no code other than tests and simulates no processes, messages or
// failures; docs/PLACEMENT.md has the results.
package experiment
