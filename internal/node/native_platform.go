package node

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/discovery"
	"topazshed/internal/gateway"
	"topazshed/internal/leasecall"
	"topazshed/internal/settings"
)

// NativePlatform gives a platform that speaks the product's own interface, for a fleet of routes; s.Routes must be set.
func NativePlatform(s *settings.Settings) *Platform {
	dial := leasecall.NewDial(localIP(s.Proxy))
	leases := newNativeLeases(dial)
	platform := &Platform{
		Names:      gateway.DefaultNames(),
		Bounds:     nativeBounds(s.Routes),
		GrantLease: leases.grantLease,
		Serve: func(outside *Outside) map[string]http.Handler {
			return map[string]http.Handler{s.Proxy: outside.Requests, s.Admin: outside.Admin}
		},
	}
	if s.Platform != "" {
		client := leasecall.NewHTTPClient(dial, constants.ListCall)
		platform.List = func(ctx context.Context, turn Turn) ([]discovery.Listed, int, error) {
			return listNative(ctx, client, s.Platform, turn)
		}
	}
	return platform
}

func nativeBounds(routes *settings.Routes) Bounds {
	return Bounds{
		Bounds: gateway.Bounds{
			RetryRatio:  routes.RetryRatio,
			RetryWindow: milliseconds(routes.RetryWindowMS),
			RetrySlack:  routes.RetrySlack,
			ColdExcess:  routes.ColdExcess,
			ColdMargin:  routes.ColdMargin,
			ApplyWithin: milliseconds(routes.ApplyWithinMS),
		},
		MaxHold:    milliseconds(routes.HoldMostMS),
		ListLag:    milliseconds(routes.ListLagMS),
		ListRate:   routes.ListRate,
		StopGrace:  milliseconds(routes.StopGraceMS),
		MaxResolve: milliseconds(routes.MatchLifeMS),
	}
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// localIP is the IP of an IP:port; not valid if the text is none.
func localIP(address string) netip.Addr {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return netip.Addr{}
	}
	return parsed.Addr()
}
