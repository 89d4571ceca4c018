package raft

// Term numbers elections. It never falls on one member, and at most one member leads in each term.
type Term uint64

// Index is the position of an item in the log. The first item has index 1; 0 stands before it.
type Index uint64
