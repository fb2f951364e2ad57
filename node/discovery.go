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

// discoveryClient reads the event stream of the discovery service at one address. When the address in the configuration changes,
// a new client is started. The old one then makes no more requests, and ends when its connection does.
type discoveryClient struct {
	node       *Node
	addr       string
	superseded chan struct{} // closed when a client for a newer address starts
	mu         sync.Mutex
	conn       net.Conn // connection of the stream that is being read; guarded by mu
}

// Times of the discovery client. While its stream is up, the discovery service sends a comment line every second, even if there
// is no event. Rule 3 (nothing new to an exchange that was announced as draining or gone) takes a call server to know an
// announcement by a time limit that depends on the fault: 2 s after the connection broke, 4 s after the service fell silent, 6 s
// after requests failed. So discoveryReadTimeout, discoveryConnectTimeout for an attempt that fails, and discoveryHedgeDelay for
// a request without an answer together take less than 4 s.
const (
	discoveryReadTimeout    = 2100 * time.Millisecond // without any bytes on the stream, two comments are missing
	discoveryConnectTimeout = 500 * time.Millisecond
	// discoveryHedgeDelay is how long a request may be without an answer before a hedged one is sent beside it. A service that
	// works answers within a second, as a comment is due then.
	discoveryHedgeDelay = 1300 * time.Millisecond
	// discoveryResponseTimeout is how long a request may be without an answer before it is given up: less than the 6 s.
	discoveryResponseTimeout = 5500 * time.Millisecond
	maxOutstandingRequests   = 4                      // at a time, hedged ones among them
	minBackoff               = 20 * time.Millisecond  // before the first request after a connection that has ended
	maxBackoff               = 500 * time.Millisecond // the backoff doubles up to this while connections fail or end early
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

// readStream opens a stream and passes its events to the loop until the connection ends or nothing has been received for
// discoveryReadTimeout.
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

// openStream requests the event stream and returns the first stream that is answered, or an error once no request is
// outstanding any more. A request without an answer is not cancelled after discoveryHedgeDelay, since a service that takes
// longer would then never be read. Instead another request, a hedged one, is sent beside it, up to maxOutstandingRequests.
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
