package numbering

import "testing"

func TestLongestPrefix(t *testing.T) {
	table, err := NewTable([]Entry{{"55", 1, -1}, {"551", 2, 0}, {"55199", 3, -1}})
	if err != nil {
		t.Fatal(err)
	}
	for number, want := range map[string]int{"5": 0, "55": 1, "5507": 1, "5512": 2, "551998": 3, "55198": 2, "66": 0, "": 0, "55x1": 1} {
		if e, ok := table.Find(number); e.Exchange != want || ok != (want != 0) {
			t.Errorf("%q: exchange %d, %v, want %d", number, e.Exchange, ok, want)
		}
	}
	for _, bad := range [][]Entry{{{"", 1, -1}}, {{"5a", 1, -1}}, {{"1234567890123456", 1, -1}}, {{"5", 1, -1}, {"5", 2, -1}}} {
		if _, err := NewTable(bad); err == nil {
			t.Errorf("%v was accepted", bad)
		}
	}
}

func TestCategories(t *testing.T) {
	c := Categories{10: 0, 11: 1}
	if c.Of(11) != 1 || c.Of(12) != -1 {
		t.Error("wrong class of a category")
	}
}
