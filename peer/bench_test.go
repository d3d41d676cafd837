package peer_test

import (
	"net/http"
	"strconv"
	"testing"

	"endiveflow.example/endiveflow/peer"
	"endiveflow.example/endiveflow/testkit"
)

// BenchmarkRequest measures requests with 100-byte answers over one connection, with client and server in one
// process. It reports latency quantiles.
func BenchmarkRequest(b *testing.B) {
	socket := listen(b)
	answer := make([]byte, 100)
	startServer(b, socket, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) })
	c := newClient(b, peer.ClientConfig{})
	for _, senders := range []int{1, 16} {
		b.Run(strconv.Itoa(senders)+"senders", func(b *testing.B) {
			testkit.ReportLatency(b, senders, func(int) error {
				_, err := do(b.Context(), c, socket.Addr(), http.MethodPost, "/")
				return err
			})
		})
	}
}
