package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"finchlatch/feed"
	"finchlatch/office"
	"finchlatch/sip"
)

// faultyServer is a deliberately incomplete call server on which the checker is tested. It keeps the rules as long as nothing
// fails: it forwards set-ups, answers and releases over one connection to each office. It has no time-outs, limits or signal
// handling, and does not follow service discovery.
type faultyServer struct {
	mu      sync.Mutex
	offices map[int]*officeConn // by exchange
	calls   map[uint64]*pendingCall
}

// officeConn is an office and the connection to it.
type officeConn struct {
	addr string
	conn net.Conn
}

// pendingCall is a call with the connection of its caller.
type pendingCall struct {
	from    net.Conn
	request sip.Head
}

// classWithOwnConnections is the class whose set-ups are each sent on a new connection.
const classWithOwnConnections = "each"

// runFaultyServer runs a faultyServer with the configuration of the platform until it is killed.
func runFaultyServer() error {
	text, err := os.ReadFile(os.Getenv("ROUTER_CONFIG"))
	if err != nil {
		return err
	}
	var config struct {
		Listen string
		Known  feed.Snapshot
	}
	if err := json.Unmarshal(text, &config); err != nil {
		return err
	}
	server := &faultyServer{offices: map[int]*officeConn{}, calls: map[uint64]*pendingCall{}}
	for _, entry := range config.Known.Entries {
		for _, member := range entry.Hosts.Members {
			server.offices[member.Cell] = &officeConn{addr: member.Addr}
		}
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return err
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go server.serveCaller(conn)
	}
}

func (s *faultyServer) serveCaller(conn net.Conn) {
	var framer sip.Framer
	buffer := make([]byte, 4096)
	for {
		size, err := conn.Read(buffer)
		framer.Write(buffer[:size])
		for message, malformed := framer.Next(); message != nil && malformed == nil; message, malformed = framer.Next() {
			s.handleRequest(conn, message)
		}
		if err != nil {
			return
		}
	}
}

func (s *faultyServer) handleRequest(conn net.Conn, message *sip.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	callID, _ := strconv.ParseUint(message.CallID, 16, 64)
	switch {
	case message.Status > 0 || strings.Contains(message.Get("X-Legs"), "at:"):
	case message.Method == "OPTIONS" || message.Method == "CANCEL":
		_, _ = conn.Write(sip.Response(nil, sip.HeadOf(message), 200, 0, nil))
	case message.Method == "INVITE":
		s.calls[callID] = &pendingCall{from: conn, request: sip.HeadOf(message)}
		s.setUp(callID, message)
	}
}

// setUp sends a set-up to the office of the called exchange. The caller holds s.mu.
func (s *faultyServer) setUp(callID uint64, message *sip.Message) {
	var calledExchange int
	_, _ = fmt.Sscanf(message.Get("X-Legs"), "dest:%d", &calledExchange)
	target := s.offices[calledExchange]
	if target.conn == nil || message.Get("X-Cos") == classWithOwnConnections {
		conn, err := net.DialTimeout("tcp", target.addr, 5*time.Second)
		if err != nil {
			return
		}
		target.conn = conn
		go s.serveOffice(conn)
	}
	patienceMs, _ := strconv.Atoi(message.Get("X-Timer-Ms"))
	encoded, err := office.Append(nil, &office.Message{Type: office.SetUp, Call: callID, Class: message.Get("X-Cos"),
		TimeLeftMs: patienceMs, Number: message.User(), Description: message.Body})
	if err == nil {
		_, _ = target.conn.Write(encoded)
	}
}

func (s *faultyServer) serveOffice(conn net.Conn) {
	var framer office.Framer
	buffer := make([]byte, 4096)
	for {
		size, err := conn.Read(buffer)
		framer.Write(buffer[:size])
		for message, malformed := framer.Next(); message != nil && malformed == nil; message, malformed = framer.Next() {
			s.handleOfficeMessage(message)
		}
		if err != nil {
			return
		}
	}
}

func (s *faultyServer) handleOfficeMessage(message *office.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call := s.calls[message.Call]
	switch {
	case call == nil:
	case message.Type == office.Answer:
		_, _ = call.from.Write(sip.Response(nil, call.request, 200, 0, message.Description))
	case message.Type == office.Release && message.Cause == office.CauseNormal:
		delete(s.calls, message.Call)
		_, _ = call.from.Write(sip.Request(nil, "BYE", "sip:x@net", call.request.CallID, 2, office.CauseNormal))
	case message.Type == office.Release:
		delete(s.calls, message.Call)
		_, _ = call.from.Write(sip.Response(nil, call.request, 503, 0, nil))
	}
}
