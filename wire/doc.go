// Package wire defines the protobuf messages between sidecars, their clients and
// their engines, and the drpc service of sidecars, with the generated code.
package wire

//go:generate protoc --plugin=protoc-gen-go=../.tools/protoc-gen-go --plugin=protoc-gen-go-drpc=../.tools/protoc-gen-go-drpc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative sidecar.proto engine.proto
