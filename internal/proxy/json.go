package proxy

import "encoding/json"

func jsonRead(text []byte, into any) bool { return json.Unmarshal(text, into) == nil }
