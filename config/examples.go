package config

import (
	"embed"
	"io/fs"
)

//go:embed examples/*.yaml
var examples embed.FS

// Examples returns the embedded example documents, keyed by file name.
func Examples() map[string][]byte {
	texts := map[string][]byte{}
	paths, _ := fs.Glob(examples, "examples/*.yaml")
	for _, path := range paths {
		text, err := examples.ReadFile(path)
		if err == nil {
			texts[path[len("examples/"):]] = text
		}
	}
	return texts
}
