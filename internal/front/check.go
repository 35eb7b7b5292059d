package front

import (
	"errors"
	"fmt"

	"pulleyquay/internal/catalog"
	"pulleyquay/internal/result"
	"pulleyquay/internal/spec"
)

// validate refuses a job whose specification is inconsistent or out of bounds.
func validate(g *spec.Graph) error {
	var v *spec.Violation
	if errors.As(g.Check(), &v) {
		return result.New(result.JobBodyInvalid, result.RanNo, "%s", v.Reason).AtField(v.Field)
	}
	return nil
}

// checkQuota refuses a job that can never run within its account's quota and reports the figures.
// The quota has to hold one task of each step, and all members of a gang at once.
func checkQuota(a *catalog.Account, g *spec.Graph) error {
	if a == nil {
		return nil
	}
	for i := range g.Steps {
		s := &g.Steps[i]
		if over := a.Quota.Exceeds(s.MinResources()); over != "" {
			return result.New(result.AccountQuotaSmall, result.RanNo, "account %s may not have running at once what the step needs: %s", a.Name, over).AtField(fmt.Sprintf("steps[%d]", i))
		}
	}
	return nil
}
