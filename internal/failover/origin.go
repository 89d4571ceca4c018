package failover

import (
	"fmt"
	"strings"
)

// maxRegionName bounds the length of a region's name in an origin record, in bytes.
const maxRegionName = 31

// The kinds of origin records on the wire.
const (
	regionOrigin = "region"
	entryOrigin  = "entry"
)

// Origin is the immutable record that travels with a request: a region, or the entry itself if it is an entity.
type Origin struct {
	Region  string
	Service string
	Path    string
}

// String returns the record as it is on the wire.
func (o Origin) String() string {
	if o.Region != "" {
		return regionOrigin + "=" + o.Region
	}
	return entryOrigin + "=" + o.Service + o.Path
}

// OriginError says that an origin record is not well formed or does not fit its entry.
type OriginError struct{ Text string }

func (e *OriginError) Error() string {
	return fmt.Sprintf("origin %q does not fit; send the origin record of the directory's answer unchanged", e.Text)
}

// ParseOrigin reads an origin record. Its error is an *OriginError.
func ParseOrigin(text string) (Origin, error) {
	kind, rest, _ := strings.Cut(text, "=")
	switch kind {
	case regionOrigin:
		if rest != "" && len(rest) <= maxRegionName && !strings.ContainsAny(rest, "/ ") {
			return Origin{Region: rest}, nil
		}
	case entryOrigin:
		if service, path, isCut := strings.Cut(rest, "/"); isCut && service != "" {
			return Origin{Service: service, Path: "/" + path}, nil
		}
	}
	return Origin{}, &OriginError{text}
}
