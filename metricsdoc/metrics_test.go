package metricsdoc_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// root is the root directory of the module.
const root = ".."

var (
	// metricName matches a metric name in a string of the code or in a page, including verbs of fmt.
	metricName = regexp.MustCompile(`endiveflow_[a-z0-9_%]+`)
	// documentedRow matches the name and type in a table row of a page.
	documentedRow = regexp.MustCompile("(?m)^\\| `(endiveflow_[a-z0-9_]+)(?:\\{[^`]*\\})?` \\| ([a-z]+) \\| \\S")
)

// metricTypes maps the functions of the metrics library to the types used in the pages.
var metricTypes = map[string]string{
	"GetOrCreateCounter": "counter", "NewCounter": "counter",
	"GetOrCreateFloatCounter": "counter", "NewFloatCounter": "counter",
	"GetOrCreateGauge": "gauge", "NewGauge": "gauge",
	"GetOrCreateHistogram": "histogram", "NewHistogram": "histogram",
	"GetOrCreateSummary": "summary", "NewSummary": "summary",
}

// Guards against metrics that no page of docs/metrics documents, pages that list metrics which no longer
// exist, and rows whose type differs from the code.
func TestPagesMatchMetrics(t *testing.T) {
	code := codeMetrics(t)
	require.NotEmpty(t, code)
	require.Equal(t, sorted(code), sorted(pageMetrics(t)), "metrics in the code, and in docs/metrics")
}

// Guards against metrics that are created in a way which these tests do not recognize, such as with a name
// that is not a single string literal in the call. They would be missing from the comparison.
func TestMetricNamesAreRecognized(t *testing.T) {
	var created []string
	files := make(map[string][]*ast.File)
	for _, dir := range packageDirs(t) {
		files[dir] = parseDir(t, dir)
		for _, file := range files[dir] {
			for _, call := range metricCalls(file) {
				name := nameIn(call)
				require.NotEmpty(t, name, "a metric in %s has no literal name", dir)
				created = append(created, name)
			}
		}
	}
	for dir, list := range files {
		for _, file := range list {
			ast.Inspect(file, func(n ast.Node) bool {
				if name := literalName(n); name != "" {
					require.Contains(t, created, name, "%s is not created by a known function in %s", name, dir)
				}
				return true
			})
		}
	}
}

func sorted(metrics map[string]string) []string {
	var out []string
	for name, kind := range metrics {
		out = append(out, name+" "+kind)
	}
	return slices.Sorted(slices.Values(out))
}

// pageMetrics returns the type of each metric in the pages. Each page lists the metrics of the package with
// the same name.
func pageMetrics(t *testing.T) map[string]string {
	t.Helper()
	out := make(map[string]string)
	pages, err := filepath.Glob(filepath.Join(root, "docs/metrics/*.md"))
	require.NoError(t, err)
	for _, page := range pages {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, row := range documentedRow.FindAllStringSubmatch(string(text), -1) {
			prefix := "endiveflow_" + strings.TrimSuffix(filepath.Base(page), ".md") + "_"
			require.True(t, strings.HasPrefix(row[1], prefix), "%s is listed in %s", row[1], page)
			out[row[1]] = row[2]
		}
		for _, name := range metricName.FindAllString(string(text), -1) {
			require.Contains(t, out, name, "%s has no complete row in %s", name, page)
		}
	}
	return out
}

// codeMetrics returns the type of each metric in the code, except tests.
func codeMetrics(t *testing.T) map[string]string {
	t.Helper()
	out := make(map[string]string)
	for _, dir := range packageDirs(t) {
		files := parseDir(t, dir)
		for _, file := range files {
			for _, call := range metricCalls(file) {
				kind := metricTypes[call.Fun.(*ast.SelectorExpr).Sel.Name]
				for _, name := range expand(t, nameIn(call), file, call, files) {
					out[name] = kind
				}
			}
		}
	}
	return out
}

func packageDirs(t *testing.T) []string {
	t.Helper()
	dirs := make(map[string]bool)
	require.NoError(t, filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") {
			dirs[filepath.Dir(path)] = true
		}
		return err
	}))
	return slices.Sorted(maps.Keys(dirs))
}

func parseDir(t *testing.T, dir string) []*ast.File {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, "*.go"))
	require.NoError(t, err)
	var out []*ast.File
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		require.NoError(t, err)
		out = append(out, file)
	}
	return out
}

// metricCalls returns the calls that create a metric.
func metricCalls(file *ast.File) []*ast.CallExpr {
	var out []*ast.CallExpr
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		fun, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || metricTypes[fun.Sel.Name] == "" {
			return true
		}
		if pkg, ok := fun.X.(*ast.Ident); ok && pkg.Name == "metrics" {
			out = append(out, call)
		}
		return true
	})
	return out
}

// nameIn returns the metric name in the arguments of a call, including verbs of fmt.
func nameIn(call *ast.CallExpr) string {
	var name string
	ast.Inspect(call, func(n ast.Node) bool {
		if name == "" {
			name = literalName(n)
		}
		return true
	})
	return name
}

// literalName returns the metric name in a string literal, or "".
func literalName(n ast.Node) string {
	lit, ok := n.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return ""
	}
	text, _ := strconv.Unquote(lit.Value)
	return metricName.FindString(text)
}

// expand returns the names that result from replacing a verb in name by the first argument of each call of
// the function that creates the metric.
func expand(t *testing.T, name string, file *ast.File, metric *ast.CallExpr, files []*ast.File) []string {
	t.Helper()
	if !strings.Contains(name, "%") {
		return []string{name}
	}
	var out []string
	for _, decl := range file.Decls {
		f, ok := decl.(*ast.FuncDecl)
		if !ok || metric.Pos() < f.Pos() || f.End() < metric.End() {
			continue
		}
		for _, value := range firstArguments(t, f.Name.Name, files) {
			out = append(out, strings.Replace(name, "%s", value, 1))
		}
	}
	require.NotEmpty(t, out, "no values of %s", name)
	return out
}

func firstArguments(t *testing.T, function string, files []*ast.File) []string {
	t.Helper()
	var out []string
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok || len(call.Args) == 0 {
				return true
			}
			if fun, ok := call.Fun.(*ast.Ident); !ok || fun.Name != function {
				return true
			}
			lit, ok := call.Args[0].(*ast.BasicLit)
			require.True(t, ok, "%s is called with a first argument that is not a literal", function)
			value, err := strconv.Unquote(lit.Value)
			require.NoError(t, err)
			out = append(out, value)
			return true
		})
	}
	return out
}
