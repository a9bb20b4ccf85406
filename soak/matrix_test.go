package soak

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/faultmatrix"
)

// testNames returns the names of all tests of the module.
func testNames(t *testing.T) map[string]bool {
	names := map[string]bool{}
	pattern := regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)\w+)`)
	assert.NilError(t, filepath.WalkDir("..", func(path string, entry os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, match := range pattern.FindAllStringSubmatch(string(source), -1) {
			names[match[1]] = true
		}
		return err
	}))
	return names
}

// Guards against a fault or a kind of request that nothing plays and nobody has written
// down, and against a fault of the soak that the matrix does not name.
func TestFaultMatrixIsComplete(t *testing.T) {
	known, named := testNames(t), map[string]bool{}
	injected := map[string]bool{}
	for _, f := range faults {
		injected[f.name] = true
	}
	for fault, row := range faultmatrix.Cells {
		for request, cell := range row {
			where := faultmatrix.Describe(fault, request)
			assert.Check(t, cell.Check() == "", "%s: %s", where, cell.Check())
			for _, name := range cell.Tests {
				assert.Check(t, known[name], "%s: no test %s", where, name)
			}
			for _, name := range cell.Soak {
				named[name] = true
				assert.Check(t, injected[name], "%s: the soak has no fault %q", where, name)
			}
		}
	}
	for _, f := range faults {
		assert.Check(t, named[f.name], "no cell names the fault %q of the soak", f.name)
	}
}

const matrixHead = "# Faults and requests\n\n" +
	"Each fault that a server, the store, a link, a client or a process can bring, against each kind of request: the test or the fault of the soak\n" +
	"that plays it, why it cannot happen, or what is open (issue 29). Package `faultmatrix` holds the table; `UPDATE_DOCS=1 go test ./soak -run\n" +
	"TestFaultMatrixPageIsCurrent` writes this page, and the test compares them.\n\n"

// Guards against a page that says something else than the table.
func TestFaultMatrixPageIsCurrent(t *testing.T) {
	const path = "../docs/fault-matrix.md"
	want := matrixHead + faultmatrix.Markdown()
	if os.Getenv("UPDATE_DOCS") != "" {
		assert.NilError(t, os.WriteFile(path, []byte(want), 0o644))
	}
	page, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Equal(t, string(page), want)
}
