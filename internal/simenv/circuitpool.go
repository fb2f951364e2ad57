package simenv

import "math/bits"

// circuitPool holds the free circuits of an access group. It selects the 2,048 kbit/s systems in turn, so that a circuit
// stays idle for a while before it is seized again.
type circuitPool struct {
	free       [systems]uint32 // one bit per circuit
	nextSystem int             // where the next search starts
}

// Circuit identification codes are numbered by system.
const (
	systems           = 128
	circuitsPerSystem = 32
)

// put returns a circuit to the pool.
func (p *circuitPool) put(cic uint16) {
	p.free[cic/circuitsPerSystem%systems] |= 1 << (cic % circuitsPerSystem)
}

// take seizes the lowest free circuits of the next system that has width of them free. It returns nil if no system has.
func (p *circuitPool) take(width int) []uint16 {
	for i := range len(p.free) {
		system := (p.nextSystem + i) % len(p.free)
		if bits.OnesCount32(p.free[system]) < width {
			continue
		}
		circuits := make([]uint16, 0, width)
		for range width {
			bit := bits.TrailingZeros32(p.free[system])
			p.free[system] &^= 1 << bit
			circuits = append(circuits, uint16(circuitsPerSystem*system+bit))
		}
		p.nextSystem = (system + 1) % len(p.free)
		return circuits
	}
	return nil
}
