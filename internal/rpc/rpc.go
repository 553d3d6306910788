// Package rpc holds the gRPC messages and services between coltsfootlug's own
// processes. The generated files are committed; run make generate after changing
// coltsfoot.proto or fleet.proto.
package rpc

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative coltsfoot.proto fleet.proto

// MaxBodyBytes bounds the body of one request or response.
const MaxBodyBytes = 8 << 20

// MaxMessageBytes bounds one message, which holds at most one body and its
// metadata.
const MaxMessageBytes = MaxBodyBytes + 64<<10
