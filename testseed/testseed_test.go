package testseed_test

import (
	"flag"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	_ "endiveflow.example/endiveflow/testseed"
)

const (
	rapidPath    = "pgregory.net/rapid"
	testseedPath = "endiveflow.example/endiveflow/testseed"
)

// With a random seed, CI could pass and fail on the same code.
func TestSeedIsFixed(t *testing.T) {
	require.NotEqual(t, "0", flag.Lookup("rapid.seed").Value.String())
}

// Guards against property tests with a random seed: a package whose test files import rapid must import
// testseed too. The files of one directory may belong to two test packages, but both run in one process.
func TestPropertyTestsImportTestseed(t *testing.T) {
	missing, checked := missingTestseed(t, "..")
	require.Empty(t, missing, "directories with property tests that don't import testseed")
	require.NotEmpty(t, checked, "no property tests found")
}

// Guards against a check that never finds a missing import.
func TestMissingTestseedImportIsFound(t *testing.T) {
	missing, checked := missingTestseed(t, "testdata")
	require.Equal(t, []string{filepath.Join("testdata", "unseeded")}, missing)
	require.Len(t, checked, 2)
}

// missingTestseed returns the directories below root that contain property tests, and those among them that
// do not import testseed.
func missingTestseed(t *testing.T, root string) (missing, checked []string) {
	imports := importsOfTests(t, root)
	for _, dir := range slices.Sorted(maps.Keys(imports)) {
		if !imports[dir][rapidPath] {
			continue
		}
		checked = append(checked, dir)
		if !imports[dir][testseedPath] {
			missing = append(missing, dir)
		}
	}
	return missing, checked
}

// importsOfTests returns the import paths of the test files by directory.
func importsOfTests(t *testing.T, root string) map[string]map[string]bool {
	found := make(map[string]map[string]bool)
	require.NoError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir():
			if path != root && entry.Name() == "testdata" {
				return filepath.SkipDir
			}
			return nil
		case !strings.HasSuffix(path, "_test.go"):
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		dir := filepath.Dir(path)
		if found[dir] == nil {
			found[dir] = make(map[string]bool)
		}
		for _, spec := range file.Imports {
			name, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			found[dir][name] = true
		}
		return nil
	}))
	return found
}
