package config

import _ "embed"

// Schema is the published JSON schema of a document's YAML form, for use in
// editors. Validate also checks what a schema cannot express, such as references.
//
//go:embed schema.json
var Schema []byte
