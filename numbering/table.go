// Package numbering maps called numbers (E.164 digits) to exchanges by longest prefix, and calling party's categories to
// classes of calls. Its functions depend on nothing but these tables.
package numbering

import (
	"fmt"
	"strings"
)

// Entry assigns the numbers that start with Prefix to an exchange.
type Entry struct {
	Prefix   string // 1 to 15 digits
	Exchange int    // number of the destination exchange
	Class    int    // index of the class of every call to these numbers; -1: the calling party's category selects it
}

// Table is an immutable set of entries for lookup by longest prefix.
type Table struct {
	root  node
	count int
}

// node is a node of the prefix tree: next is indexed by digit, entry is nil unless a prefix ends here.
type node struct {
	next  [10]*node
	entry *Entry
}

// NewTable returns a table of the entries, or an error that names the first invalid one.
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
			return nil, fmt.Errorf("numbering: entry %d: prefix %q is listed twice", i, e.Prefix)
		}
		n.entry = &e
		t.count++
	}
	return t, nil
}

// Len returns the number of entries.
func (t *Table) Len() int { return t.count }

// Find returns the entry with the longest prefix of a number, or false if the number is not allocated. Only the digits before
// the first other character count, so that "55x1" finds the same entry as "55".
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

// Categories maps calling party's categories (Q.763 3.11) to indexes of classes.
type Categories map[byte]int

// Of returns the index of the class of a category, or -1 if it has none.
func (c Categories) Of(category byte) int {
	if class, ok := c[category]; ok {
		return class
	}
	return -1
}
