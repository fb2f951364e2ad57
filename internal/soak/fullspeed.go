package soak

import (
	"fmt"
	"io"
	"net"
	"time"
)

// fullSpeedRequest formats one request of a client that sends at full speed. Every request has another Call-ID.
type fullSpeedRequest func(f *fleet, sequence uint64) string

// fullSpeedRequests are the kinds of requests of a client at full speed, by Fault.Variant. None is a set-up that an office may get.
var fullSpeedRequests = []fullSpeedRequest{
	plainRequest("OPTIONS", ""),
	plainRequest("BYE", ""),
	plainRequest("CANCEL", ""),
	plainRequest("ACK", ""),
	plainRequest("NOTIFY", ""),
	plainRequest("REGISTER", ""),
	func(_ *fleet, sequence uint64) string { // a response to a BYE that was never sent
		return fmt.Sprintf("SIP/2.0 200 OK\r\nCall-ID: %016x\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n", sequence)
	},
	func(_ *fleet, sequence uint64) string { // a class that does not exist
		return fullSpeedInvite(sequence, "none", "dest:1;width:1;via:-1")
	},
	func(f *fleet, sequence uint64) string { // an exchange that does not exist
		return fullSpeedInvite(sequence, f.scenario.Deployment.Classes[0].Name, "dest:60000;width:1;via:-1")
	},
	func(f *fleet, sequence uint64) string { // a claim to a call at an office that does not exist
		return fullSpeedInvite(sequence, f.scenario.Deployment.Classes[0].Name, "dest:1;width:1;via:-1;at:s-none")
	},
	func(f *fleet, sequence uint64) string { // a claim to a call at an office
		return fullSpeedInvite(sequence, f.scenario.Deployment.Classes[0].Name, "dest:1;width:1;via:-1;at:"+f.officeID(1))
	},
	func(f *fleet, sequence uint64) string { // the same, and ended at once
		return fullSpeedInvite(sequence, f.scenario.Deployment.Classes[0].Name, "dest:1;width:1;via:-1;at:"+f.officeID(1)) +
			plainRequest("BYE", "")(f, sequence)
	},
	func(f *fleet, sequence uint64) string { // given up at once
		return fullSpeedInvite(sequence, "none", "dest:60000;width:1;via:-1") + plainRequest("CANCEL", "")(f, sequence)
	},
	func(f *fleet, sequence uint64) string { // two requests of one ID that differ
		return fullSpeedInvite(sequence, "none", "dest:60000;width:1;via:-1") + fullSpeedInvite(sequence, "none", "dest:60001;width:1;via:-1")
	},
	func(_ *fleet, sequence uint64) string { return fullSpeedInvite(sequence, "none", "dest:x") },
	plainRequest("BYE", "Reason: Q.850;cause=41\r\n"),
}

// plainRequest returns the format of a request without a body.
func plainRequest(method, fields string) fullSpeedRequest {
	return func(_ *fleet, sequence uint64) string {
		return fmt.Sprintf("%s sip:1@net SIP/2.0\r\nCall-ID: %016x\r\nCSeq: 1 %s\r\n%sContent-Length: 0\r\n\r\n", method, sequence, method, fields)
	}
}

func fullSpeedInvite(sequence uint64, class, legs string) string {
	return inviteRequest(fullSpeedIDs+sequence, Class{Name: class}, 20*time.Second, legs)
}

// fullSpeedIDs is where the Call-IDs of clients at full speed begin.
const fullSpeedIDs = 0xf5 << 56

// officeID returns the ID of the present office of an exchange.
func (f *fleet) officeID(exchange int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sites[exchange].office.Member.ID
}

// fullSpeedClient has one client send requests on one connection at full speed, and open another one whenever that is closed. Fault.Variant
// is the kind of request; one above the last kind stands for all of them mixed. With Fault.Unread nothing is read.
func (f *fleet) fullSpeedClient(fault Fault) {
	end := time.Now().Add(time.Duration(fault.For))
	sequence := uint64(0)
	for _, n := range f.affectedNodes(fault) {
		f.wg.Add(1)
		go func(sequence uint64) {
			defer f.wg.Done()
			for time.Now().Before(end) {
				sequence = n.sendAtFullSpeed(fault, sequence, end)
				time.Sleep(time.Millisecond)
			}
		}(sequence)
		sequence += 1 << 40
	}
	time.Sleep(time.Until(end))
}

// sendAtFullSpeed sends requests on one connection until that ends, and returns the next sequence number.
func (n *node) sendAtFullSpeed(fault Fault, sequence uint64, end time.Time) uint64 {
	conn, err := net.DialTimeout("tcp", n.listenAddr, time.Second)
	if err != nil {
		return sequence
	}
	defer conn.Close()
	_ = conn.SetDeadline(end)
	if !fault.Unread {
		n.fleet.wg.Add(1)
		go func() {
			defer n.fleet.wg.Done()
			_, _ = io.Copy(io.Discard, conn)
		}()
	}
	const burstBytes = 32 << 10
	for sent := 0; ; {
		var burst []byte
		for len(burst) < burstBytes {
			variant := fault.Variant
			if variant >= len(fullSpeedRequests) {
				variant = int(sequence) % len(fullSpeedRequests)
			}
			burst = append(burst, fullSpeedRequests[variant](n.fleet, sequence)...)
			sequence++
		}
		size, err := conn.Write(burst)
		if sent += size; err != nil {
			n.fleet.counts.add("bytes of clients at full speed", sent)
			return sequence
		}
	}
}
