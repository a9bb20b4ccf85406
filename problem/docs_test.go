package problem

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a code that the operations page does not explain, or documents
// with another status.
func TestOperationsExplainEveryCode(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	_, table, _ := strings.Cut(string(page), "## Error codes")
	for code := range codeInfos {
		row := fmt.Sprintf("| `%s` | %d | ", code, code.Status())
		assert.Assert(t, strings.Contains(table, row), row)
	}
	assert.Equal(t, strings.Count(table, "\n| `"), len(codeInfos))
}
