package schema

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// TestWireFormatIsKept compares field numbers, kinds and enum values with those of earlier versions. Names are left out: they may change, since
// neither the wire nor the disk carries them. Never update the golden file for a change of a line that is there; new lines at the end of a
// message or enum may be added.
func TestWireFormatIsKept(t *testing.T) {
	var text strings.Builder
	messages := File_topazshed_proto.Messages()
	for i := range messages.Len() {
		fmt.Fprintf(&text, "message %d\n", i)
		fields := messages.Get(i).Fields()
		for j := range fields.Len() {
			fmt.Fprintf(&text, "  %s\n", describeField(fields.Get(j)))
		}
	}
	enums := File_topazshed_proto.Enums()
	for i := range enums.Len() {
		fmt.Fprintf(&text, "enum %d:", i)
		values := enums.Get(i).Values()
		for j := range values.Len() {
			fmt.Fprintf(&text, " %d", values.Get(j).Number())
		}
		text.WriteString("\n")
	}
	goldie.New(t).Assert(t, "wire", []byte(text.String()))
}

func describeField(field protoreflect.FieldDescriptor) string {
	line := fmt.Sprintf("%d %s %s", field.Number(), field.Cardinality(), field.Kind())
	if message := field.Message(); message != nil {
		line += fmt.Sprintf(" %d", message.Index())
	}
	if enum := field.Enum(); enum != nil {
		line += fmt.Sprintf(" %d", enum.Index())
	}
	if oneof := field.ContainingOneof(); oneof != nil {
		line += fmt.Sprintf(" oneof %d", oneof.Index())
	}
	return line
}
