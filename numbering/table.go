// Package numbering tells which exchange a called number belongs to, by the longest prefix (E.164 digits), and
// how callers state the class of a call. It is pure and has no state but its tables.
package numbering

import (
	"fmt"
	"strings"
)

// Entry sends the numbers that start with Prefix to an exchange.
type Entry struct {
	Prefix   string
	Exchange int // number of the exchange of destination
	Class    int // class of every call to these numbers; -1: as the calling party's category tells
}

// Table is a set of entries that is looked up by longest prefix. It does not change; make a new one instead.
type Table struct {
	root  node
	count int
}

type node struct {
	next  [10]*node
	entry *Entry
}

// NewTable makes a table, or names the entry that is wrong.
func NewTable(entries []Entry) (*Table, error) {
	t := &Table{}
	for i, e := range entries {
		if e.Prefix == "" || len(e.Prefix) > 15 || strings.Trim(e.Prefix, "0123456789") != "" {
			return nil, fmt.Errorf("numbering: entry %d: prefix %q is not 1 to 15 digits", i, e.Prefix)
		}
		n := &t.root
		for _, d := range []byte(e.Prefix) {
			if n.next[d-'0'] == nil {
				n.next[d-'0'] = &node{}
			}
			n = n.next[d-'0']
		}
		if n.entry != nil {
			return nil, fmt.Errorf("numbering: entry %d: prefix %q stands twice", i, e.Prefix)
		}
		n.entry = &e
		t.count++
	}
	return t, nil
}

// Len is the number of entries.
func (t *Table) Len() int { return t.count }

// Find gives the entry with the longest prefix of a number; false: the number is not allocated.
func (t *Table) Find(number string) (Entry, bool) {
	n, best := &t.root, (*Entry)(nil)
	for i := 0; i < len(number); i++ {
		d := number[i] - '0'
		if d > 9 {
			break
		}
		if n = n.next[d]; n == nil {
			break
		}
		if n.entry != nil {
			best = n.entry
		}
	}
	if best == nil {
		return Entry{}, false
	}
	return *best, true
}

// Categories maps calling party's categories (Q.763 3.11) to classes.
type Categories map[byte]int

// Of gives the class of a category; -1: none.
func (c Categories) Of(category byte) int {
	if class, ok := c[category]; ok {
		return class
	}
	return -1
}
