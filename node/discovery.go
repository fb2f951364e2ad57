package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"finchlatch/callserver"
	"finchlatch/feed"
	"finchlatch/internal/link"
)

// discoveryClient reads the event stream of the discovery service at one address. It stops once its connection has ended
// after a client for a newer address has started.
type discoveryClient struct {
	node       *Node
	addr       string
	superseded chan struct{} // closed when a client for a newer address starts
	mu         sync.Mutex
	conn       net.Conn // that is read; guarded by mu
}

// The discovery service sends a comment every second. The rules count a call server as notified of changes 2 s after
// its connection broke, and 4 s after the service fell silent. So the read timeout, one connection attempt that fails and one
// request that gets no answer take less than 4 s together.
const (
	discoveryReadTimeout     = 2100 * time.Millisecond
	discoveryConnectTimeout  = 500 * time.Millisecond
	discoveryHedgeDelay      = 1300 * time.Millisecond // before a hedged request is sent; a comment is due within a second
	discoveryResponseTimeout = 5500 * time.Millisecond // 6 s after a failed request changes count as notified
	maxOutstandingRequests   = 4
	minBackoff               = 20 * time.Millisecond
	maxBackoff               = 500 * time.Millisecond
)

// startDiscovery starts to read the discovery service at an address. An open connection to an older address is read until
// it ends.
func (n *Node) startDiscovery(addr string) {
	if n.discovery != nil {
		close(n.discovery.superseded)
	}
	client := &discoveryClient{node: n, addr: addr, superseded: make(chan struct{})}
	n.discovery = client
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		client.run()
	}()
}

// reconnect closes the connection, so that the client makes a new request.
func (c *discoveryClient) reconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
	}
}

// run reads one stream after another, with a backoff in between, until the client is superseded or the Node has stopped.
func (c *discoveryClient) run() {
	backoff := minBackoff
	for {
		startedAt := time.Now()
		err := c.readStream()
		select {
		case <-c.superseded:
			return
		case <-c.node.stop:
			return
		default:
		}
		c.node.log.Info("discovery connection ended", "journal", c.addr, "err", err)
		if time.Since(startedAt) > discoveryReadTimeout/2 {
			backoff = minBackoff
		}
		select {
		case <-time.After(backoff):
		case <-c.superseded:
			return
		case <-c.node.stop:
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// readStream opens a stream and passes its events to the loop until the connection ends or falls silent.
func (c *discoveryClient) readStream() error {
	stream, err := c.openStream()
	if err != nil {
		return err
	}
	defer stream.conn.Close()
	c.mu.Lock()
	c.conn = stream.conn
	c.mu.Unlock()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-c.node.stop:
			stream.conn.Close()
		case <-ended:
		}
	}()
	var decoder feed.Decoder
	buf := make([]byte, readBufferSize)
	for {
		_ = stream.conn.SetDeadline(time.Now().Add(discoveryReadTimeout))
		size, err := stream.body.Read(buf)
		decoder.Write(buf[:size])
		if err := c.enqueueEvents(&decoder); err != nil {
			return err
		}
		if err != nil {
			return err
		}
	}
}

// discoveryStream is a response of the discovery service; its body is the event stream.
type discoveryStream struct {
	conn net.Conn
	body io.Reader
}

// streamResult is the result of one request for the stream.
type streamResult struct {
	stream *discoveryStream
	err    error
}

// openStream requests the event stream until one request is answered or all have failed. A request that is not answered
// soon is not given up, since a slow service would then never get to answer. Hedged requests go out beside it, and the
// first answer is used.
func (c *discoveryClient) openStream() (*discoveryStream, error) {
	ctx, cancel := context.WithCancel(link.ContextFromChannel(c.node.stop))
	results := make(chan streamResult)
	outstanding := 0
	defer func() {
		cancel()
		for ; outstanding > 0; outstanding-- {
			if late := <-results; late.stream != nil {
				late.stream.conn.Close()
			}
		}
	}()
	hedgeTimer := time.NewTimer(0)
	defer hedgeTimer.Stop()
	for {
		select {
		case <-hedgeTimer.C:
			if outstanding < maxOutstandingRequests {
				outstanding++
				go func() {
					stream, err := c.requestStream(ctx)
					results <- streamResult{stream, err}
				}()
			}
			hedgeTimer.Reset(discoveryHedgeDelay)
		case result := <-results:
			outstanding--
			if result.err == nil || outstanding == 0 {
				return result.stream, result.err
			}
		case <-c.superseded:
			return nil, errors.New("discovery: superseded by a newer address")
		}
	}
}

// requestStream makes one request and waits for the head of its response.
func (c *discoveryClient) requestStream(ctx context.Context) (*discoveryStream, error) {
	node, startedAt := c.node, time.Now()
	dialer := net.Dialer{Timeout: discoveryConnectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	req, err := http.NewRequest(http.MethodGet, "http://"+c.addr+"/journal", nil)
	if err != nil {
		conn.Close()
		return nil, err
	}
	lastEventID := strconv.FormatUint(node.discoveryPos.Load(), 10)
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set("Last-Event-ID", lastEventID)
	_ = conn.SetDeadline(startedAt.Add(discoveryResponseTimeout))
	reader := bufio.NewReaderSize(conn, readBufferSize)
	resp, err := sendRequest(conn, reader, req)
	if err != nil {
		conn.Close()
		return nil, err
	}
	node.log.Info("discovery service answered", "journal", c.addr, "after", lastEventID, "took", time.Since(startedAt))
	return &discoveryStream{conn: conn, body: resp.Body}, nil
}

// sendRequest writes a request and reads the head of its response.
func sendRequest(conn net.Conn, reader *bufio.Reader, req *http.Request) (*http.Response, error) {
	if err := req.Write(conn); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(reader, req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery: HTTP status %d", resp.StatusCode)
	}
	return resp, nil
}

// enqueueEvents passes all complete events to the loop. Events before a malformed one are passed on, too.
func (c *discoveryClient) enqueueEvents(decoder *feed.Decoder) error {
	var events []feed.Event
	var decodeErr error
	for decodeErr == nil {
		ev, err := decoder.Next()
		if ev == nil {
			decodeErr = err
			break
		}
		events = append(events, *ev)
	}
	if len(events) > 0 && !c.node.enqueue(input{Input: callserver.Input{Kind: callserver.InDiscovery, Events: events}}) {
		return errors.New("discovery: the node has stopped")
	}
	return decodeErr
}
