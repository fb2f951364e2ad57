// Package bound computes upper bounds on the worth that any routing policy can carry in a mesh of trunk groups. The bounds
// assume complete information and decisions without delay, so no policy need reach them. The package does no I/O and reads
// no clock.
package bound

import (
	"errors"
	"fmt"
	"math"
)

// Class is a class of calls.
type Class struct {
	Worth float64 // of a call that is established in time
	Width float64 // circuits on each group
	Hold  float64 // mean hold time in seconds
}

// Network is a mesh of trunk groups, each shared by its two ends.
type Network struct {
	Circuits [][]float64 // of the group between two exchanges; symmetric
	Classes  []Class
	Rate     [][][]float64 // calls per second, by class, originating and terminating exchange
}

// Validate returns an error if the network is inconsistent or a value is out of range.
func (n Network) Validate() error {
	if len(n.Rate) != len(n.Classes) || len(n.Circuits) < 2 {
		return errors.New("bound: a network needs rates for each class, and at least two exchanges")
	}
	for i, row := range n.Circuits {
		if len(row) != len(n.Circuits) {
			return fmt.Errorf("bound: circuits: row %d has %d entries", i, len(row))
		}
		for j, circuits := range row {
			if !(circuits >= 0) || circuits != n.Circuits[j][i] {
				return fmt.Errorf("bound: circuits between %d and %d: %v in one direction, %v in the other", i, j, circuits, n.Circuits[j][i])
			}
		}
	}
	for c, class := range n.Classes {
		if !(class.Worth >= 0) || !(class.Width > 0) || !(class.Hold > 0) || len(n.Rate[c]) != len(n.Circuits) {
			return fmt.Errorf("bound: class %d is invalid: %+v", c, class)
		}
	}
	return nil
}

// pair is the traffic between two exchanges, first and second, in both directions together.
type pair struct {
	first, second int
	rates         []float64 // calls per second, by class
}

// pairs returns the traffic of each pair of exchanges, with first < second.
func (n Network) pairs() (pairs []pair) {
	for first := range n.Circuits {
		for second := first + 1; second < len(n.Circuits); second++ {
			p := pair{first: first, second: second, rates: make([]float64, len(n.Classes))}
			for c := range n.Classes {
				p.rates[c] = n.Rate[c][first][second] + n.Rate[c][second][first]
			}
			pairs = append(pairs, p)
		}
	}
	return pairs
}

// Offered is the offered worth per second.
func (n Network) Offered() (total float64) {
	for _, p := range n.pairs() {
		for c, class := range n.Classes {
			total += p.rates[c] * class.Worth
		}
	}
	return total
}

// initialStep scales the steps of the subgradient method, relative to the largest initial price.
const initialStep = 0.3

// Fluid is the most worth per second that can be carried over direct and two-leg routes where traffic is a fluid: the value
// of the linear programme over the group capacities. It is computed from the dual programme, whose variables are the prices
// of a circuit-second on each group (the implied costs of Kelly 1988), by the subgradient method. Any prices give an upper
// bound, so the result, the lowest one found, is an upper bound after any number of rounds.
func (n Network) Fluid(rounds int) (float64, error) {
	if err := n.Validate(); err != nil {
		return 0, err
	}
	pairs, size := n.pairs(), len(n.Circuits)
	prices := zeroMatrix(size)
	maxPrice := 0.0
	for _, p := range pairs {
		prices[p.first][p.second] = n.directPrice(p)
		prices[p.second][p.first] = prices[p.first][p.second]
		maxPrice = max(maxPrice, prices[p.first][p.second])
	}
	usage := zeroMatrix(size)
	lowest := math.Inf(1)
	for round := range max(1, rounds) {
		value, normSquared := n.dual(pairs, prices, usage), 0.0
		lowest = min(lowest, value)
		for _, p := range pairs {
			excess := usage[p.first][p.second] - n.Circuits[p.first][p.second]
			normSquared += excess * excess
		}
		if normSquared == 0 || maxPrice == 0 {
			break
		}
		// The classic diminishing step size, relative to the largest initial price.
		step := initialStep * maxPrice * math.Sqrt(float64(len(pairs))) / math.Sqrt(normSquared) / math.Sqrt(1+float64(round))
		for _, p := range pairs {
			updated := max(0, prices[p.first][p.second]+step*(usage[p.first][p.second]-n.Circuits[p.first][p.second]))
			prices[p.first][p.second], prices[p.second][p.first] = updated, updated
		}
	}
	return lowest, nil
}

// directPrice is the initial price of a pair's group. The group is filled with the pair's direct calls in the order of their
// worth per circuit-second, and the price is that of the class which no longer fits whole; 0 if all calls fit.
func (n Network) directPrice(p pair) float64 {
	load, price := 0.0, 0.0
	taken := make([]bool, len(n.Classes))
	for range n.Classes {
		densest := -1
		for c, class := range n.Classes {
			if !taken[c] && (densest < 0 || class.density() > n.Classes[densest].density()) {
				densest = c
			}
		}
		taken[densest] = true
		class := n.Classes[densest]
		if load += p.rates[densest] * class.Width * class.Hold; load > n.Circuits[p.first][p.second] {
			return class.density()
		}
	}
	return price
}

// density is the worth that a call earns per circuit-second.
func (k Class) density() float64 { return k.Worth / (k.Width * k.Hold) }

// dual is the value of the dual programme at given prices: the worth of all circuits at these prices, plus what calls earn
// beyond the price of their cheapest route. It sets usage to the circuits that those calls would hold.
func (n Network) dual(pairs []pair, prices, usage [][]float64) (value float64) {
	for i := range usage {
		clear(usage[i])
	}
	for _, p := range pairs {
		value += prices[p.first][p.second] * n.Circuits[p.first][p.second]
		cheapest, via := prices[p.first][p.second], -1
		firstPrices, secondPrices := prices[p.first], prices[p.second]
		for tandem := range firstPrices {
			if twoLeg := firstPrices[tandem] + secondPrices[tandem]; twoLeg < cheapest && tandem != p.first && tandem != p.second {
				cheapest, via = twoLeg, tandem
			}
		}
		for c, class := range n.Classes {
			gain := class.Worth - class.Width*class.Hold*cheapest
			if gain <= 0 {
				continue
			}
			value += p.rates[c] * gain
			load := p.rates[c] * class.Width * class.Hold
			if via < 0 {
				usage[p.first][p.second] += load
				continue
			}
			usage[min(p.first, via)][max(p.first, via)] += load
			usage[min(p.second, via)][max(p.second, via)] += load
		}
	}
	return value
}

// zeroMatrix returns a square matrix of zeros.
func zeroMatrix(size int) [][]float64 {
	rows := make([][]float64, size)
	for i := range rows {
		rows[i] = make([]float64, size)
	}
	return rows
}
