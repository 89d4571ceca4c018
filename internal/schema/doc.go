// Package schema holds the messages that processes exchange and that voters keep on disk, generated from topazshed.proto.
//
// The wire and the disk carry field numbers, never names: a field may be renamed, but its number, kind and meaning stay (TestWireFormatIsKept).
// Messages are plain data without an owner; who sends one must not change it afterwards.
package schema
