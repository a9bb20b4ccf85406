// Package wire holds the messages that sapphirefield processes send each other
// and the code generated from them.
package wire

//go:generate protoc --plugin=protoc-gen-go=../.tools/protoc-gen-go --plugin=protoc-gen-go-drpc=../.tools/protoc-gen-go-drpc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative sidecar.proto engine.proto
