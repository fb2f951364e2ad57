package ingress

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// simulate offers calls of clients, at the given rates, to a call server that carries capacity calls per second and refuses
// the rest. It returns the established and the offered calls of each client in the second half of the time, first those of
// low worth, then those of top worth.
func simulate(controller *Controller, rates []float64, capacity float64, length time.Duration, seed uint64) (established, offered [][2]float64) {
	random := rand.New(rand.NewPCG(seed, 1))
	established, offered = make([][2]float64, len(rates)), make([][2]float64, len(rates))
	total, capacityTokens := 0.0, 0.0
	for _, rate := range rates {
		total += rate
	}
	last := time.Duration(0)
	for now := time.Duration(0); now < length; now += time.Duration(random.ExpFloat64() / total * float64(time.Second)) {
		capacityTokens = math.Min(5, capacityTokens+capacity*(now-last).Seconds())
		last = now
		pick, clientIndex := random.Float64()*total, 0
		for ; pick > rates[clientIndex]; clientIndex++ {
			pick -= rates[clientIndex]
		}
		worthIndex := 0
		if random.Float64() < 0.2 {
			worthIndex = 1
		}
		measured := now > length/2
		if measured {
			offered[clientIndex][worthIndex]++
		}
		if admit, _ := controller.Offer(now, clientIndex, float64(1+2*worthIndex)); !admit {
			continue
		}
		answered := capacityTokens >= 1
		if answered {
			capacityTokens--
		}
		if answered && measured {
			established[clientIndex][worthIndex]++
		}
		controller.Answered(now, answered)
		controller.Ended(clientIndex)
	}
	return established, offered
}

func newController(clients int) *Controller {
	return New(Settings{Weights: make([]float64, clients), TopWorth: 3})
}

// A client that floods gets no more than the others leave, and they lose few of their calls.
func TestFloodingClientDoesNotDisplaceOthers(t *testing.T) {
	controller := newController(5)
	established, offered := simulate(controller, []float64{10, 10, 10, 10, 100}, 60, time.Minute, 1)
	establishedAlone, offeredAlone := simulate(New(Settings{Weights: make([]float64, 1)}), []float64{140}, 60, time.Minute, 1) // a single client has no shares
	ratioWithoutShares := (establishedAlone[0][0] + establishedAlone[0][1]) / (offeredAlone[0][0] + offeredAlone[0][1])
	for i := range 4 {
		ratio := (established[i][0] + established[i][1]) / (offered[i][0] + offered[i][1])
		if ratio < 0.8 || ratio < 1.6*ratioWithoutShares {
			t.Errorf("client %d: %.2f of its calls were established, %.2f without shares", i, ratio, ratioWithoutShares)
		}
	}
	floodRate := (established[4][0] + established[4][1]) / 30
	if floodRate < 10 || floodRate > 22 {
		t.Errorf("the flooding client has %.1f calls per second, 20 are left for it", floodRate)
	}
	if controller.Level(4) != FarOver || controller.Level(0) != Clear {
		t.Errorf("congestion level %d of the flooding client and %d of client 0, want 2 and 0", controller.Level(4), controller.Level(0))
	}
	establishedUnlimited, offeredUnlimited := simulate(newController(5), []float64{10, 10, 10, 10, 100}, 1e9, time.Minute, 1)
	for i := range establishedUnlimited {
		if establishedUnlimited[i] != offeredUnlimited[i] {
			t.Errorf("client %d: calls are held back though nothing is refused", i)
		}
	}
}

// Part of the token bucket of a client is kept for its calls of the highest worth.
func TestTopWorthCallsAreAdmittedMoreOften(t *testing.T) {
	established, offered := simulate(newController(2), []float64{20, 80}, 50, time.Minute, 2)
	lowWorthRatio, topWorthRatio := established[1][0]/offered[1][0], established[1][1]/offered[1][1]
	if topWorthRatio < 1.3*lowWorthRatio {
		t.Errorf("%.2f of the calls of top worth were established, %.2f of the others", topWorthRatio, lowWorthRatio)
	}
}

func TestSharesEnd(t *testing.T) {
	controller := newController(2)
	simulate(controller, []float64{20, 80}, 50, 20*time.Second, 3)
	if !controller.Sharing() {
		t.Fatal("no shares in an overload")
	}
	for now := 20 * time.Second; now < 40*time.Second; now += 50 * time.Millisecond { // no overload: all are established
		for clientIndex := range 2 {
			if admit, _ := controller.Offer(now, clientIndex, 1); admit {
				controller.Answered(now, true)
				controller.Ended(clientIndex)
			}
		}
	}
	if controller.Sharing() || controller.Level(1) != Clear {
		t.Errorf("after the overload: sharing %v, level %d", controller.Sharing(), controller.Level(1))
	}
}

// A client that offers less than its part leaves the rest to the others, by their weights.
func TestSharesAreMaxMinFair(t *testing.T) {
	controller := New(Settings{Weights: []float64{1, 1, 2}})
	for range 1000 { // 5, 50 and 100 calls per second, until the rates have settled
		now := controller.clients[0].offered.updatedAt + 100*time.Millisecond
		for i, events := range []float64{0.5, 5, 10} {
			controller.clients[i].offered.add(now, events)
		}
	}
	controller.assignShares(controller.clients[0].offered.updatedAt, 95)
	for i, want := range []float64{95.0 / 4, 30, 60} { // the first client leaves what it does not need
		if got := controller.Share(i); math.Abs(got-want) > 2 {
			t.Errorf("share of client %d is %.1f, want %.1f", i, got, want)
		}
	}
}

func TestMaxCalls(t *testing.T) {
	controller := New(Settings{Weights: []float64{1, 1}, MaxCalls: 3})
	for i := range 5 {
		if admit, level := controller.Offer(0, 0, 1); admit != (i < 3) || !admit && level != FarOver {
			t.Errorf("call %d of a client that may have 3: admitted %v, congestion level %d", i, admit, level)
		}
	}
	controller.Ended(0)
	if admit, _ := controller.Offer(0, 0, 1); !admit {
		t.Error("no call after one has ended")
	}
	if admit, _ := controller.Offer(0, 1, 1); !admit {
		t.Error("the other client is held back")
	}
}

func TestInvalidWeightsCountAsOne(t *testing.T) {
	controller := New(Settings{Weights: []float64{-1, math.NaN(), math.Inf(1), 0}})
	for i := range 4 {
		if controller.clients[i].weight != 1 {
			t.Errorf("weight of client %d is %v, want 1", i, controller.clients[i].weight)
		}
	}
}
