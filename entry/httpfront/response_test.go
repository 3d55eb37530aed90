package httpfront

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"almondstile/request"
)

// Guards against an error response without a message: each reason needs a text.
func TestEveryReasonHasAMessage(t *testing.T) {
	files, err := filepath.Glob("../../request/*.go")
	if err != nil {
		t.Fatal(err)
	}
	reasons := 0
	check := func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || !strings.HasPrefix(spec.Names[0].Name, "Reason") || len(spec.Values) == 0 {
			return true
		}
		value, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		if err != nil {
			t.Fatal(err)
		}
		reasons++
		if value != "" && reasonMessages[request.Reason(value)] == "" {
			t.Errorf("%s has no message", spec.Names[0].Name)
		}
		return true
	}
	for _, name := range files {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, check)
	}
	if reasons < 30 {
		t.Errorf("only %d reasons were found", reasons)
	}
}
