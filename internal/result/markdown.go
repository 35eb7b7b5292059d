package result

import (
	"fmt"
	"strings"
)

// codesPreface is the text before the table in docs/RESULT-CODES.md.
const codesPreface = `# Result codes

Every refusal or failure that leaves a process has one of these numbers. Callers
and operators get it in the ` + "`code`" + ` of an RFC 9457 problem document, whose ` + "`type`" + `
is ` + "`urn:pulleyquay:problem:`" + ` and the name. ` + "`ran`" + ` of the same document says whether
the work was executed: ` + "`no`" + ` is a promise, ` + "`unknown`" + ` means that it may have been.
A number is never used again for something else.

This page is made by ` + "`pulleyctl codes -o markdown`" + `; a test compares it with the
table in the program.

| code | name | HTTP status | meaning |
| ---: | --- | ---: | --- |
`

// Markdown returns the content of docs/RESULT-CODES.md: a table of every registered code.
func Markdown() string {
	var b strings.Builder
	b.WriteString(codesPreface)
	for _, i := range All() {
		fmt.Fprintf(&b, "| %d | `%s` | %d | %s |\n", i.Code, i.Name, i.Status, i.Title)
	}
	return b.String()
}
