package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// BenchmarkRequest carries requests over one kept connection. Its figures include the stand-in back end, which runs in the same process,
// so only their difference between two versions of the gateway has a meaning.
func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct{ name, method, path, body string }{
		{"GET", http.MethodGet, "/safe/x", ""},
		{"POST", http.MethodPost, "/once/x", strings.Repeat("b", 2000)},
	} {
		b.Run(c.name, func(b *testing.B) {
			f := newFront(b, newStandIn(b, saying(fine)))
			b.ReportAllocs()
			for b.Loop() {
				request := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
				request.Host = "one.example"
				request.Header.Set(names.Attempt, nextID())
				response := httptest.NewRecorder()
				f.gateway.ServeHTTP(response, request)
				if response.Code != http.StatusOK {
					b.Fatalf("status %d: %s", response.Code, response.Body)
				}
			}
		})
	}
}
