// Package forwarding holds what packages gateway and proxy both need to pass HTTP messages on: which header fields go on to the next
// hop, and how much of a body is read into memory. It keeps no state, and its functions may be called from any goroutine.
//
// The two packages write their own refusals, since their wire differs: the gateway's Retry-After has fractions of a second, the proxy's
// whole seconds and a Topazshed-Outcome field beside it.
package forwarding
