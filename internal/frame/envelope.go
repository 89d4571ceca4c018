package frame

import "topazshed/internal/schema"

// Envelope is a frame with the address that it goes to.
type Envelope struct {
	To    string
	Frame *schema.Frame
}
