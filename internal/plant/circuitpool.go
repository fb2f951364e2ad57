package plant

import "math/bits"

// circuitPool holds the free circuits of an access group. It selects the 2,048 kbit/s systems in turn, so that a circuit
// stays idle for a while before it is seized again.
type circuitPool struct {
	free       [128]uint32 // one word per system, one bit per circuit
	nextSystem int         // where the next search starts
}

// put returns a circuit to the pool.
func (p *circuitPool) put(cic uint16) { p.free[cic/32%128] |= 1 << (cic % 32) }

// take seizes the lowest free circuits of the next system that has width of them free. It returns nil if no system has.
func (p *circuitPool) take(width int) []uint16 {
	for i := range len(p.free) {
		s := (p.nextSystem + i) % len(p.free)
		if bits.OnesCount32(p.free[s]) < width {
			continue
		}
		out := make([]uint16, 0, width)
		for range width {
			bit := bits.TrailingZeros32(p.free[s])
			p.free[s] &^= 1 << bit
			out = append(out, uint16(32*s+bit))
		}
		p.nextSystem = (s + 1) % len(p.free)
		return out
	}
	return nil
}
