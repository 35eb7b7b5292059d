package result_test

import (
	"os"
	"testing"

	"pulleyquay/internal/result"
)

// The page must match the registered codes exactly; `make codes` regenerates it.
func TestPageListsEveryCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/RESULT-CODES.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != result.Markdown() {
		t.Error("docs/RESULT-CODES.md differs from the table in the program; run make codes")
	}
}
