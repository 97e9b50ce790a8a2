package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Values of BrokenAnswer.End.
const (
	// EndClose closes the connection. The kernel resets it instead if a part of the request is unread.
	EndClose = "close"
	// EndReset resets the connection.
	EndReset = "reset"
	// EndReadOn closes only the sending half and reads the rest of the request.
	EndReadOn = "read_on"
	// EndHold closes only the sending half, and reads nothing before EndAfter has passed.
	EndHold = "hold"
)

// BrokenAnswer is the answer of a server in trouble. It is sent as it is, because net/http encodes no
// such answer.
type BrokenAnswer struct {
	// Status is the status code with its text, such as "200 OK".
	Status string `json:"status"`
	// Fields are lines of the head, besides those that the stand-in sends itself.
	Fields []string `json:"fields,omitempty"`
	// Body is what follows the head, with its framing.
	Body string `json:"body,omitempty"`
	// Early answers before the body of the request has been read.
	Early bool `json:"early,omitempty"`
	// End is how the connection ends; see EndClose and the following constants.
	End string `json:"end"`
	// EndAfter is the time until the connection ends.
	EndAfter Duration `json:"end_after,omitempty"`
}

// ServeHTTP sends the answer, with the fields that are set in the header of w, and ends the connection.
func (a *BrokenAnswer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !a.Early {
		_, _ = io.Copy(io.Discard, r.Body) // fails if the caller has disconnected
	}
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 %s\r\n", a.Status) // fails if the caller has disconnected
	_ = w.Header().Write(buffer)
	for _, field := range a.Fields {
		_, _ = fmt.Fprintf(buffer, "%s\r\n", field)
	}
	_, _ = fmt.Fprintf(buffer, "\r\n%s", a.Body)
	_ = buffer.Flush()
	tcp := tcpConn(conn)
	if tcp != nil && a.End == EndHold {
		_ = tcp.CloseWrite()
	}
	time.Sleep(time.Duration(a.EndAfter))
	switch {
	case tcp == nil:
	case a.End == EndReset:
		_ = tcp.SetLinger(0)
	case a.End == EndReadOn:
		_ = tcp.CloseWrite()
		_, _ = io.Copy(io.Discard, buffer) // until the caller closes
	}
}

// tcpConn returns the TCP connection that a server's connection wraps, nil if there is none.
func tcpConn(conn net.Conn) *net.TCPConn {
	if wrapper, ok := conn.(*silentConn); ok {
		conn = wrapper.Conn
	}
	tcp, _ := conn.(*net.TCPConn)
	return tcp
}
