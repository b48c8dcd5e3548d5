// Package peer defines the messages exchanged between daemons and the DRPC service that daemons offer to each other.
// The generated code is committed, so that neither the build nor CI needs protoc.
package peer

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative peer.proto report.proto
