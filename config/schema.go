package config

import _ "embed"

// Schema is the published JSON schema of a document's YAML form. It serves
// editors; Validate checks more than it can say, such as references.
//
//go:embed schema.json
var Schema []byte
