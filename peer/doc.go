// Package peer holds the messages and the drpc service between daemons.
// The generated code is committed, so that neither the build nor CI needs protoc.
package peer

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative peer.proto report.proto
