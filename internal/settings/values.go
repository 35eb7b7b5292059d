// Package settings implements the operators' tree of inherited settings: immutable, content-addressed branches under
// one head, which is moved by compare-and-swap.
package settings

import "pulleyquay/internal/fairshare"

// Values are the effective settings of a branch, after inheritance. Each setting's name includes its unit. The JSON
// names are also the names in a branch's overrides, grouped by the objects below.
type Values struct {
	Request   Request   `json:"request"`
	Executor  Executor  `json:"executor"`
	Placement Placement `json:"placement"`
	Quota     Quota     `json:"quota"`
	Task      Task      `json:"task"`
}

// Request governs callers' requests to a service.
type Request struct {
	DefaultDeadlineMS  int64 `json:"default_deadline_ms" validate:"min=1,max=3600000,ltefield=MaxDeadlineMS"`
	MaxDeadlineMS      int64 `json:"max_deadline_ms" validate:"min=1,max=3600000"`
	MaxBodyBytes       int64 `json:"max_body_bytes" validate:"min=0,max=67108864"`
	MaxAnswerBytes     int64 `json:"max_answer_bytes" validate:"min=1,max=268435456"`
	QueueLimit         int64 `json:"queue_limit" validate:"min=0,max=1000000"`
	PostIdempotent     bool  `json:"post_idempotent"`
	KeyWindowMS        int64 `json:"key_window_ms" validate:"min=1000,max=86400000,gtefield=MaxDeadlineMS"`
	KeyLimit           int64 `json:"key_limit" validate:"min=1,max=10000000"`
	RetryBudgetPercent int64 `json:"retry_budget_percent" validate:"min=0,max=100"`
}

// Executor governs the use of each executor of a service.
type Executor struct {
	Slots       int64 `json:"slots" validate:"min=1,max=1024,ltefield=Connections"`
	Connections int64 `json:"connections" validate:"min=1,max=65536"`
}

// Placement governs where the tasks of a branch are placed.
type Placement struct {
	Policy      string `json:"policy" validate:"oneof=packing waiting"` // PolicyPacking or PolicyWaiting
	SpreadZones bool   `json:"spread_zones"`
	SpreadRacks bool   `json:"spread_racks"`
}

// The placement policies.
const (
	PolicyPacking = "packing"
	PolicyWaiting = "waiting"
)

// Quota bounds the resources that a team's jobs may use at once.
type Quota = fairshare.Quota

// Task governs the tasks of a branch's jobs.
type Task struct {
	MaxAttempts int64 `json:"max_attempts" validate:"min=1,max=100"`
	// Priority is higher for more urgent tasks; only tasks of lower priority are preempted.
	Priority    int64 `json:"priority" validate:"min=-1000,max=1000"`
	MinReplicas int64 `json:"min_replicas" validate:"min=0,max=100000"`
	Surge       int64 `json:"surge" validate:"min=0,max=1000"`
	// GangLoss is the action taken when a task of a running gang is lost.
	GangLoss string `json:"gang_loss" validate:"oneof=restart replace fail"`
}

// The actions for a lost task of a running gang: stop all tasks and start all unfinished ones together, restart only
// the lost task, or end the job.
const (
	GangRestart = "restart"
	GangReplace = "replace"
	GangFail    = "fail"
)

// Defaults returns the values of a root that overrides nothing.
func Defaults() Values {
	return Values{
		Request: Request{
			DefaultDeadlineMS: 2000, MaxDeadlineMS: 30000, MaxBodyBytes: 1 << 20, MaxAnswerBytes: 4 << 20,
			QueueLimit: 256, KeyWindowMS: 600000, KeyLimit: 200000, RetryBudgetPercent: 10,
		},
		Executor:  Executor{Slots: 8, Connections: 64},
		Placement: Placement{Policy: PolicyWaiting, SpreadZones: true},
		Quota:     Quota{MilliCPU: -1, MemoryMiB: -1, Accelerators: -1},
		Task:      Task{MaxAttempts: 5, MinReplicas: 1, Surge: 1, GangLoss: GangRestart},
	}
}
