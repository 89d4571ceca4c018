package store

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/schema"
)

// EncodeRow makes a row of a message. Equal messages give equal values on every node.
func EncodeRow(key string, message proto.Message) *schema.Row {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("store: encode row %s: %v", key, err))
	}
	return &schema.Row{Key: key, Value: value}
}

// Tombstone makes a row that deletes the one with its key.
func Tombstone(key string) *schema.Row { return &schema.Row{Key: key, Gone: true} }

// DecodeRow returns a row's message; nil for a missing or deleted row, and for one that can't be read as that message.
func DecodeRow[T any, P interface {
	*T
	proto.Message
}](row *schema.Row) P {
	if row == nil || row.Gone {
		return nil
	}
	message := P(new(T))
	if err := proto.Unmarshal(row.Value, message); err != nil {
		return nil
	}
	return message
}
