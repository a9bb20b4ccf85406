// Package wire defines the protobuf messages that sidecars exchange with entries,
// engines and each other, and the drpc service of sidecars. It holds the code
// generated from them.
package wire

//go:generate protoc --plugin=protoc-gen-go=../.tools/protoc-gen-go --plugin=protoc-gen-go-drpc=../.tools/protoc-gen-go-drpc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative sidecar.proto engine.proto
