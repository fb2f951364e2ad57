package standin

import (
	"sync"
	"time"

	"finchlatch/internal/simenv"
)

// Processor runs the simulated processor of an exchange in real time. All messages to the exchange queue at it. It is safe
// for concurrent use.
type Processor struct {
	mu     sync.Mutex
	wake   *sync.Cond
	clock  func() time.Duration
	core   *simenv.Processor[queueKey]
	closed bool
	done   chan struct{}
}

// queueKey identifies one direction of a session.
type queueKey struct {
	session   *session
	direction simenv.Direction
}

// minSleep is the shortest wait for which the processor sleeps. A message that is due sooner is served at once, and later
// services make up for the difference.
const minSleep = 300 * time.Microsecond

// NewProcessor starts a processor.
func NewProcessor(core *simenv.Processor[queueKey], clock func() time.Duration) *Processor {
	core.TimingTolerance = minSleep
	p := &Processor{clock: clock, core: core, done: make(chan struct{})}
	p.wake = sync.NewCond(&p.mu)
	go p.run()
	return p
}

// Submit queues a message for the processor.
func (p *Processor) Submit(message simenv.QueuedMessage[queueKey]) {
	p.WithCore(func(core *simenv.Processor[queueKey], now time.Duration) { core.Submit(now, message) })
}

// WithCore calls a function with the simulated processor and the present time, while the processor does nothing else. It
// does nothing once the processor is closed.
func (p *Processor) WithCore(change func(core *simenv.Processor[queueKey], now time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		change(p.core, p.clock())
		p.wake.Signal()
	}
}

// run serves messages until Close.
func (p *Processor) run() {
	defer close(p.done)
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.closed {
		at, ok := p.core.Next()
		if !ok {
			p.wake.Wait()
			continue
		}
		action := p.core.Serve(p.clock())
		wait := at - p.clock()
		p.mu.Unlock()
		if action != nil {
			action()
		} else {
			time.Sleep(min(wait, 50*time.Millisecond))
		}
		p.mu.Lock()
	}
}

// Close stops the processor and drops the queued messages.
func (p *Processor) Close() {
	p.mu.Lock()
	p.closed = true
	p.wake.Broadcast()
	p.mu.Unlock()
	<-p.done
}

// Collapsed reports whether the processor has collapsed under load while cold.
func (p *Processor) Collapsed() (collapsed bool) {
	p.WithCore(func(core *simenv.Processor[queueKey], _ time.Duration) { collapsed = core.Collapsed() })
	return collapsed
}
