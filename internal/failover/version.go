package failover

import (
	"fmt"
	"strings"

	"topazshed/internal/protocolversion"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

func checkVersion(table *store.Table, row *schema.Row) (bool, error) {
	inUse := protocolversion.InUse(store.DecodeRow[schema.FleetVersion](table.Get(store.VersionKey)).GetVersion())
	switch {
	case row.Key == store.VersionKey:
		if fresh := protocolversion.InUse(store.DecodeRow[schema.FleetVersion](row).GetVersion()); fresh < inUse {
			return true, fmt.Errorf("the fleet's version would fall from %d to %d; it only rises", inUse, fresh)
		}
		return true, nil
	case strings.HasPrefix(row.Key, "node/"):
		node := store.DecodeRow[schema.Node](row)
		span, err := protocolversion.ReadSpan(node.GetSpeaksLow(), node.GetSpeaksHigh())
		if err == nil {
			err = protocolversion.CheckFleet(span, inUse)
		}
		if err != nil {
			return true, fmt.Errorf("node %s does not fit the fleet: %w", node.GetId(), err)
		}
		return true, nil
	}
	return false, nil
}
