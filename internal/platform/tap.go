package platform

import "sync"

// trackedConns holds the open connections that a tap follows, by the ids that their proxy assigned.
type trackedConns[Conn any] struct {
	mu    sync.Mutex
	conns map[int]*Conn
}

// newTrackedConns returns an empty set.
func newTrackedConns[Conn any]() trackedConns[Conn] {
	return trackedConns[Conn]{conns: map[int]*Conn{}}
}

// track adds a connection.
func (t *trackedConns[Conn]) track(id int, conn *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[id] = conn
}

// withConn calls update with a connection that is tracked, one call at a time.
func (t *trackedConns[Conn]) withConn(id int, update func(conn *Conn)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if conn := t.conns[id]; conn != nil {
		update(conn)
	}
}

// untrack removes a connection, and calls finish with it.
func (t *trackedConns[Conn]) untrack(id int, finish func(conn *Conn)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if conn := t.conns[id]; conn != nil {
		delete(t.conns, id)
		finish(conn)
	}
}
