package bound

import (
	"fmt"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// Group is one trunk group of a symmetric mesh, in which all groups are alike.
type Group struct {
	Circuits int
	Classes  []Class
	Rates    []float64 // direct calls per second of both ends together, by class
}

// variablesPerClass counts the variables of a state and a class: calls, direct calls and two-leg calls.
const variablesPerClass = 3

// AtOnce is an upper bound on the worth per second and group of policies that decide on each call when it arrives, where
// callers do not redial, arrivals are Poisson and hold times exponential. It is Kelly's bound (Bounds on the performance of
// dynamic routing schemes for highly connected networks, 1994), extended to classes of several widths: a linear programme in
// the long-run frequencies of one group's states, in which a blocked direct call may return as a two-leg call that earns half
// of its worth on each of two groups. Unlike the fluid bound, it takes the randomness of arrivals into account.
//
// The variables are, for each number n of circuits in use, the fraction of time, and for each n and class, within that time,
// the mean number of calls and the accepted direct and two-leg calls per second.
func (g Group) AtOnce() (float64, error) {
	states, classes := g.Circuits+1, len(g.Classes)
	if g.Circuits < 1 || classes == 0 || len(g.Rates) != classes {
		return 0, fmt.Errorf("bound: a group of %d circuits with %d classes and %d rates", g.Circuits, classes, len(g.Rates))
	}
	// These functions give the index of a variable.
	timeIndex := func(n int) int { return n }
	callsIndex := func(n, c int) int { return states + (n*classes+c)*variablesPerClass }
	directIndex := func(n, c int) int { return callsIndex(n, c) + 1 }
	twoLegIndex := func(n, c int) int { return callsIndex(n, c) + 2 }
	program := linearProgram{variables: states + variablesPerClass*states*classes}
	objective := make([]float64, program.variables)
	total := program.equality(1)
	for n := range states {
		total[timeIndex(n)] = 1
		var occupancy []float64 // the calls in progress use n circuits together
		if n > 0 {
			occupancy = program.equality(0)
			occupancy[timeIndex(n)] = -float64(n)
		}
		for c, class := range g.Classes {
			width := int(class.Width)
			if n < width {
				program.fixAtZero(callsIndex(n, c))
			} else {
				occupancy[callsIndex(n, c)] = class.Width
			}
			objective[directIndex(n, c)], objective[twoLegIndex(n, c)] = -class.Worth, -class.Worth/2
			if n+width > g.Circuits { // too few circuits are free for another call
				program.fixAtZero(directIndex(n, c))
				program.fixAtZero(twoLegIndex(n, c))
				continue
			}
			arrivals := program.inequality(0) // direct calls arrive at the same rate in every state (PASTA)
			arrivals[directIndex(n, c)], arrivals[timeIndex(n)] = 1, -g.Rates[c]
		}
	}
	for n := range g.Circuits { // transitions across the cut between n and n+1 circuits balance
		balance := program.equality(0)
		for c, class := range g.Classes {
			width := int(class.Width)
			for m := max(0, n-width+1); m <= n; m++ {
				balance[directIndex(m, c)] += 1
				balance[twoLegIndex(m, c)] += 1
			}
			for m := n + 1; m <= min(g.Circuits, n+width); m++ {
				balance[callsIndex(m, c)] -= 1 / class.Hold
			}
		}
	}
	for c, class := range g.Classes {
		flow := make([]float64, program.variables)
		if c > 0 { // of each class, as many calls begin as end; for the first one this follows from the balance
			flow = program.equality(0)
		}
		blocked := program.inequality(2 * g.Rates[c]) // each two-leg call is a blocked direct call, and counts on two groups
		for n := range states {
			flow[directIndex(n, c)], flow[twoLegIndex(n, c)], flow[callsIndex(n, c)] = 1, 1, -1/class.Hold
			blocked[twoLegIndex(n, c)], blocked[directIndex(n, c)] = 1, 2
		}
	}
	return program.solve(objective)
}

// linearProgram collects the rows of a linear programme whose variables are not negative.
type linearProgram struct {
	variables  int          // their number
	rows       [][]float64  // coefficients of the constraints
	rightSides []float64    // by row
	hasSlack   []bool       // by row: an inequality
	zeroed     map[int]bool // variables that are fixed at 0
}

// equality adds a row whose value is rightSide, and returns its coefficients to be filled in.
func (p *linearProgram) equality(rightSide float64) []float64 {
	row := make([]float64, p.variables)
	p.rows, p.rightSides, p.hasSlack = append(p.rows, row), append(p.rightSides, rightSide), append(p.hasSlack, false)
	return row
}

// inequality adds a row whose value is at most rightSide, and returns its coefficients to be filled in.
func (p *linearProgram) inequality(rightSide float64) []float64 {
	row := p.equality(rightSide)
	p.hasSlack[len(p.hasSlack)-1] = true
	return row
}

// fixAtZero removes a variable from the programme.
func (p *linearProgram) fixAtZero(variable int) {
	if p.zeroed == nil {
		p.zeroed = map[int]bool{}
	}
	p.zeroed[variable] = true
}

// simplexTolerance is the tolerance of the simplex method.
const simplexTolerance = 1e-9

// solve minimises the objective by the simplex method and returns the negated minimum.
func (p *linearProgram) solve(objective []float64) (float64, error) {
	kept := make([]int, 0, p.variables)
	for variable := range p.variables {
		if !p.zeroed[variable] {
			kept = append(kept, variable)
		}
	}
	slacks := 0
	for _, slack := range p.hasSlack {
		if slack {
			slacks++
		}
	}
	columns := len(kept) + slacks
	coefficients, costs := mat.NewDense(len(p.rows), columns, nil), make([]float64, columns)
	for i, variable := range kept {
		costs[i] = objective[variable]
		for r, row := range p.rows {
			coefficients.Set(r, i, row[variable])
		}
	}
	column := len(kept)
	for r, slack := range p.hasSlack {
		if slack {
			coefficients.Set(r, column, 1)
			column++
		}
	}
	value, _, err := lp.Simplex(costs, coefficients, p.rightSides, simplexTolerance, nil)
	if err != nil {
		return 0, fmt.Errorf("bound: linear programme of %d rows: %w", len(p.rows), err)
	}
	return -value, nil
}
