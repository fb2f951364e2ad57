package platform

import (
	"io"
	"net"
)

// Relay starts a relay in front of the process at addr and returns its address. It makes a call server behind it violate rules:
// with duplicate all that the process sends is passed on twice, and with a copyAddr all that it receives goes there as well.
func (e *Environment) Relay(addr, copyAddr string, duplicate bool) (string, error) {
	return e.serve(func(client net.Conn) {
		server, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		var requests io.Writer = server
		if copyAddr != "" {
			copyConn, err := net.Dial("tcp", copyAddr)
			if err != nil {
				server.Close()
				return
			}
			defer copyConn.Close()
			requests = io.MultiWriter(server, copyConn)
		}
		e.wg.Add(1)
		go func() {
			defer e.wg.Done()
			defer client.Close()
			buf := make([]byte, 16<<10)
			for {
				n, err := server.Read(buf)
				for range map[bool]int{false: 1, true: 2}[duplicate] {
					_, _ = client.Write(buf[:n])
				}
				if err != nil {
					return
				}
			}
		}()
		_, _ = io.Copy(requests, client)
		server.Close()
	})
}
