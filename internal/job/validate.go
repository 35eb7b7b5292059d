package job

import (
	"errors"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/google/uuid"

	"pulleyquay/internal/result"
	"pulleyquay/internal/settings"
	"pulleyquay/internal/spec"
)

// Limits of one job.
const (
	maxTasks        = 100000
	maxCommandBytes = 64 << 10
	// retention is how long a job owner keeps an ended job. An unknown identifier that was created
	// more than half of this time ago is refused, so that no identifier can be used twice.
	retention = time.Hour
	// clockSkew is how far a submitter's clock may be ahead.
	clockSkew = time.Minute
)

var specValidator = newSpecValidator()

// newSpecValidator returns a validator that reports fields by their JSON names.
func newSpecValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	return v
}

// validate performs the checks that need only the job.
func validate(j spec.Job, now time.Time) error {
	if err := checkID(j.ID, now); err != nil {
		return err
	}
	return validateSpec(j, now)
}

// validateSpec checks everything but the identifier.
func validateSpec(j spec.Job, now time.Time) error {
	if err := specValidator.Struct(j); err != nil {
		return fieldError(err)
	}
	switch {
	case j.Tasks > maxTasks:
		return invalid("tasks", "at most %d tasks", maxTasks)
	case len(j.Task.Command) > maxCommandBytes:
		return invalid("task.command", "at most %d bytes", maxCommandBytes)
	case j.Task.Size.IsZero():
		return invalid("task.size", "a task must ask for something")
	case j.Kind == spec.KindService && j.Task.RunMillis != 0:
		return invalid("task.run_ms", "a service has no run time")
	case j.Kind == spec.KindService && j.DeadlineUnixMilli != 0:
		return invalid("deadline_unix_ms", "a service has no deadline")
	case j.DeadlineUnixMilli != 0 && j.DeadlineUnixMilli <= now.UnixMilli()+j.Task.RunMillis:
		return result.New(result.JobDeadlinePassed, result.RanNo, "the declared run time ends after the deadline").AtField("deadline_unix_ms")
	}
	return nil
}

func checkID(id string, now time.Time) error {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 || u.String() != id {
		return invalid("id", "must be a UUIDv7 in lower case")
	}
	sec, nsec := u.Time().UnixTime()
	createdAt := time.Unix(sec, nsec)
	if createdAt.Before(now.Add(-retention / 2)) {
		return result.New(result.JobIDTooOld, result.RanNo, "minted %s ago; a new job needs a new identifier", now.Sub(createdAt).Round(time.Second)).AtField("id")
	}
	if createdAt.After(now.Add(clockSkew)) {
		return invalid("id", "minted %s in the future", createdAt.Sub(now).Round(time.Second))
	}
	return nil
}

// fieldError returns the error for the first field that failed validation.
func fieldError(err error) error {
	var failed validator.ValidationErrors
	if !errors.As(err, &failed) || len(failed) == 0 {
		return invalid("", "%v", err)
	}
	f := failed[0]
	_, path, _ := strings.Cut(f.Namespace(), ".")
	return invalid(path, "must meet %q, is %v", strings.TrimSpace(f.Tag()+" "+f.Param()), f.Value())
}

func invalid(field, format string, args ...any) *result.Error {
	return result.New(result.JobInvalid, result.RanNo, format, args...).AtField(field)
}

// checkQuota refuses a job that the quota can never admit: one task, or for a gang all tasks, must
// fit.
func checkQuota(j spec.Job, q settings.Quota) error {
	need := j.Task.Size
	if j.Kind == spec.KindGang {
		need = need.Times(int64(j.Tasks))
	}
	excess := q.Exceeds(need)
	if excess == "" {
		return nil
	}
	return result.New(result.JobOverQuota, result.RanNo, "branch %s allows team %s less than it needs at once: %s", j.Branch, j.Team, excess)
}

func codeLabel(c result.Code) string { return strconv.Itoa(int(c)) }
