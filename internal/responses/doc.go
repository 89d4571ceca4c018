// Package responses reads HTTP/1.1 responses of parties that the process does not trust: back ends, other proxies and the platform.
// net/http keeps a response's head whole however long it is (http.ReadResponse), or up to megabytes of it (http.Transport), and
// skips interim responses; this package counts the bytes, fields and interim responses before they are parsed, and ends the
// connection where one of them exceeds its bound. Bodies are the caller's to bound.
//
// A Reader belongs to the goroutine that reads its connection; Conn is for http.Transport, which reads and writes on two.
package responses
