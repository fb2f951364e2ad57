package callserver

// fairOrder keeps elements in the order in which they were added, each with the connection from callers that it is kept for. When there
// are too many, the oldest one is dropped of the connection that has the most, so that no client can push out what is kept for others.
type fairOrder[E ordered[E]] struct {
	all    chain[E]
	owners map[*callerConn]*chain[E]
}

// ordered is an element of a fairOrder, which embeds its place there.
type ordered[E any] interface {
	comparable
	orderPlace() *place[E]
}

// place is where an element stands in the order of all and in that of its owner.
type place[E any] struct {
	owner          *callerConn
	inAll, inOwner neighbors[E]
	isKept         bool
}

func (p *place[E]) orderPlace() *place[E] { return p }

// neighbors are the elements before and behind one in a chain; zero values: there are none.
type neighbors[E any] struct{ older, newer E }

// chain is a linked list of elements, oldest first.
type chain[E any] struct {
	oldest, newest E
	count          int
}

// pushBack adds an element as the newest. at returns the neighbors of an element in this chain.
func pushBack[E comparable](c *chain[E], element E, at func(E) *neighbors[E]) {
	var none E
	at(element).older, at(element).newer = c.newest, none
	if c.newest == none {
		c.oldest = element
	} else {
		at(c.newest).newer = element
	}
	c.newest = element
	c.count++
}

// unlink removes an element.
func unlink[E comparable](c *chain[E], element E, at func(E) *neighbors[E]) {
	var none E
	around := *at(element)
	if around.older == none {
		c.oldest = around.newer
	} else {
		at(around.older).newer = around.newer
	}
	if around.newer == none {
		c.newest = around.older
	} else {
		at(around.newer).older = around.older
	}
	*at(element) = neighbors[E]{}
	c.count--
}

func inAll[E ordered[E]](element E) *neighbors[E]   { return &element.orderPlace().inAll }
func inOwner[E ordered[E]](element E) *neighbors[E] { return &element.orderPlace().inOwner }

func (f *fairOrder[E]) len() int { return f.all.count }

// add adds an element as the newest.
func (f *fairOrder[E]) add(element E, owner *callerConn) {
	if f.owners == nil {
		f.owners = map[*callerConn]*chain[E]{}
	}
	owned := f.owners[owner]
	if owned == nil {
		owned = &chain[E]{}
		f.owners[owner] = owned
	}
	at := element.orderPlace()
	at.owner, at.isKept = owner, true
	pushBack(&f.all, element, inAll[E])
	pushBack(owned, element, inOwner[E])
}

// remove removes an element, if it is there.
func (f *fairOrder[E]) remove(element E) {
	at := element.orderPlace()
	if !at.isKept {
		return
	}
	owned := f.owners[at.owner]
	unlink(&f.all, element, inAll[E])
	if unlink(owned, element, inOwner[E]); owned.count == 0 {
		delete(f.owners, at.owner)
	}
	at.owner, at.isKept = nil, false
}

// oldest returns the oldest element; false: there is none.
func (f *fairOrder[E]) oldest() (E, bool) { return f.all.oldest, f.all.count > 0 }

// excess returns the element to drop when there are too many: the oldest one of an owner with the most. There must be one.
func (f *fairOrder[E]) excess() E {
	most := f.owners[f.all.oldest.orderPlace().owner]
	for _, owned := range f.owners {
		if owned.count > most.count {
			most = owned
		}
	}
	return most.oldest
}

// values returns all elements, oldest first.
func (f *fairOrder[E]) values() []E {
	values := make([]E, 0, f.all.count)
	element := f.all.oldest
	for range f.all.count {
		values = append(values, element)
		element = inAll(element).newer
	}
	return values
}
