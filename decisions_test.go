package sapphirefield

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	forbiddenImports = []string{"net", "net/http", "os", "os/exec", "sync/atomic", "crypto/rand", "math/rand", "context"}
	forbiddenCalls   = []string{
		"time.Now", "time.Since", "time.Until", "time.Sleep", "time.After", "time.AfterFunc", "time.NewTimer", "time.NewTicker",
	}
)

// Guards against I/O, goroutines and clock reads in the packages that make
// decisions: golden tests, fuzzing and experiments in virtual time need these
// packages to be deterministic.
func TestDecisionsArePure(t *testing.T) {
	packages := []string{
		"admission", "answerend", "attempt", "burn", "claim", "condition", "configlog", "eventstream", "lease", "membership", "order", "pipeline", "placement", "planner", "quarantine", "ratelimit", "retry",
	}
	for _, dir := range packages {
		files, err := filepath.Glob(dir + "/*.go")
		assert.NilError(t, err)
		assert.Assert(t, len(files) > 0, "no package %s", dir)
		for _, name := range files {
			if !strings.HasSuffix(name, "_test.go") {
				checkNoSideEffects(t, name)
			}
		}
	}
}

func checkNoSideEffects(t *testing.T, name string) {
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, name, nil, parser.SkipObjectResolution)
	assert.NilError(t, err)
	for _, spec := range file.Imports {
		path, _ := strconv.Unquote(spec.Path.Value)
		assert.Check(t, !slices.Contains(forbiddenImports, path), "%s imports %s", name, path)
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.GoStmt:
			t.Errorf("%s starts a goroutine", set.Position(n.Pos()))
		case *ast.SelectorExpr:
			if x, ok := n.X.(*ast.Ident); ok && slices.Contains(forbiddenCalls, x.Name+"."+n.Sel.Name) {
				t.Errorf("%s calls %s.%s", set.Position(n.Pos()), x.Name, n.Sel.Name)
			}
		}
		return true
	})
}
