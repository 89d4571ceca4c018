package standing

import (
	"fmt"
	"strings"

	"topazshed/internal/image"
	"topazshed/internal/schema"
	"topazshed/internal/versions"
)

func checkVersion(table *image.Table, row *schema.Row) (bool, error) {
	inUse := versions.InUse(image.DecodeRow[schema.FleetVersion](table.Get(image.VersionKey)).GetVersion())
	switch {
	case row.Key == image.VersionKey:
		if fresh := versions.InUse(image.DecodeRow[schema.FleetVersion](row).GetVersion()); fresh < inUse {
			return true, fmt.Errorf("the fleet's version would fall from %d to %d; it only rises", inUse, fresh)
		}
		return true, nil
	case strings.HasPrefix(row.Key, "node/"):
		node := image.DecodeRow[schema.Node](row)
		span, err := versions.ReadSpan(node.GetSpeaksLow(), node.GetSpeaksHigh())
		if err == nil {
			err = versions.CheckFleet(span, inUse)
		}
		if err != nil {
			return true, fmt.Errorf("node %s does not fit the fleet: %w", node.GetId(), err)
		}
		return true, nil
	}
	return false, nil
}
