package proxy

import (
	"net/http"
	"testing"
)

// BenchmarkRequest carries requests over one kept connection. Its figures include the stand-in back end, which runs in the same process,
// so only their difference between two versions of the proxy has a meaning.
func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct{ name, method, path, origin string }{
		{"safe", http.MethodGet, "/ledger/balances/7", "region=north"},
		{"unsafe", http.MethodPost, "/ledger/pay", "entry=ledger/pay"},
	} {
		b.Run(c.name, func(b *testing.B) {
			x := executor(b, &stand{})
			b.ReportAllocs()
			for b.Loop() {
				if w := send(x, c.method, c.path, c.origin, nil); w.Code != http.StatusOK {
					b.Fatalf("status %d: %s", w.Code, w.Body)
				}
			}
		})
	}
}
