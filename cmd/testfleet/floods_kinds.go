package main

import (
	"fmt"
	"strings"
)

// floodBlock (bytes) is what a faulty back end writes at once.
const floodBlock = 64 << 10

// floodKind is one way to send bytes without end: a start, then a piece again and again.
type floodKind struct {
	name string
	// start is what comes first, in answer to the attempt that it is given; nil for nothing.
	start func(head answerHead) string
	// piece is repeated. Where isNumbered, each "#" in it stands for a number that grows from piece to piece.
	piece      string
	isNumbered bool
}

// answerHead is the beginning of a stand-in's answer to an attempt, in the platform's names.
type answerHead struct {
	names   headerNames
	attempt string
}

// text is a head with further lines, up to the empty line.
func (h answerHead) text(status int, isSealed bool, lines ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d Word\r\n%s: %s\r\n", status, h.names.Attempt, h.attempt)
	if isSealed {
		text += h.names.Seal + ": sealed\r\n"
	}
	for _, line := range lines {
		text += line + "\r\n"
	}
	return text + "\r\n"
}

const (
	chunkedLine = "Transfer-Encoding: chunked"
	// hugeLength is a Content-Length that is never reached.
	hugeLength = "Content-Length: 1099511627776"
)

// openHead gives a head of a success without its empty line, so that more lines can follow.
func openHead(head answerHead) string {
	return strings.TrimSuffix(head.text(200, true), "\r\n")
}

func sealedChunks(head answerHead) string { return head.text(200, true, chunkedLine) }

func startOf(text string) func(answerHead) string {
	return func(answerHead) string { return text }
}

// largeChunk is a chunk of a body with nearly floodBlock bytes.
var largeChunk = fmt.Sprintf("%x\r\n%s\r\n", floodBlock-16, strings.Repeat("b", floodBlock-16))

// floodKinds are all ways in which the faulty back ends send.
var floodKinds = []floodKind{
	{name: "no line end", piece: "g"},
	{name: "empty lines", piece: "\r\n"},
	{name: "a status line", start: startOf("HTTP/1.1 200 "), piece: "w"},
	{name: "a field", start: func(h answerHead) string { return openHead(h) + "X-Long: " }, piece: "v"},
	{name: "a field's name", start: openHead, piece: "n"},
	{name: "fields", start: openHead, piece: "X-#: v\r\n", isNumbered: true},
	{name: "one field repeated", start: openHead, piece: "X-Same: v\r\n"},
	{name: "a continued field", start: func(h answerHead) string { return openHead(h) + "X-Long: v\r\n" }, piece: " more\r\n"},
	{name: "interim answers", piece: "HTTP/1.1 100 Continue\r\n\r\n"},
	{name: "interim answers with fields", piece: "HTTP/1.1 103 Early Hints\r\nLink: <" + strings.Repeat("l", 2000) + ">\r\n\r\n"},
	{name: "a body in large chunks", start: sealedChunks, piece: largeChunk},
	{name: "a body in tiny chunks", start: sealedChunks, piece: "1\r\nb\r\n"},
	{name: "a body of one length", start: func(h answerHead) string { return h.text(200, true, hugeLength) }, piece: "b"},
	{name: "a body up to the close", start: func(h answerHead) string { return h.text(200, true) }, piece: "b"},
	{name: "a body without seal", start: func(h answerHead) string { return h.text(200, false, hugeLength) }, piece: "b"},
	{name: "the body of a failure", start: func(h answerHead) string { return h.text(500, true, hugeLength) }, piece: "b"},
	{name: "a chunk's length", start: func(h answerHead) string { return sealedChunks(h) + "1" }, piece: "0"},
	{name: "a chunk's extension", start: func(h answerHead) string { return sealedChunks(h) + "1;" }, piece: "e"},
	{name: "trailers", start: func(h answerHead) string { return sealedChunks(h) + "0\r\n" }, piece: "X-#: v\r\n", isNumbered: true},
	{name: "answers of others", piece: "HTTP/1.1 200 Word\r\nContent-Length: 1\r\n\r\nb"},
	{name: "bytes after an answer", start: func(h answerHead) string { return h.text(200, true, "Content-Length: 2") + "ok" }, piece: "b"},
}

// floodKindsOf gives the kind of a name, or all of them for an empty one.
func floodKindsOf(name string) ([]floodKind, error) {
	if name == "" {
		return floodKinds, nil
	}
	for _, kind := range floodKinds {
		if kind.name == name {
			return []floodKind{kind}, nil
		}
	}
	return nil, fmt.Errorf("-kind %q is not known; give a name of floods_kinds.go", name)
}

// block gives the next bytes of a kind, with the number of the first piece, and the number of the piece after them.
func (k floodKind) block(first int) (text []byte, next int) {
	for next = first; len(text) < floodBlock; next++ {
		piece := k.piece
		if k.isNumbered {
			piece = strings.ReplaceAll(piece, "#", fmt.Sprint(next))
		}
		text = append(text, piece...)
	}
	return text, next
}
