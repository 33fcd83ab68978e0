package assembler_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/chivegauge/chivegauge/internal/cluster/registrar"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// BenchmarkRequest measures a request through two nodes, over kept connections on the loopback interface; the caller and
// the backend server run in the same process.
func BenchmarkRequest(b *testing.B) {
	is := is.New(b)
	s := &store{
		records: map[string]registrar.Record{},
	}
	group := &errgroup.Group{}
	from := newTestNode(b, s, group)
	defer from.stop()
	from.MarkLeaving(b.Context(), "i-"+from.callers, 1)
	beside := newTestNode(b, s, group)
	defer beside.stop()
	nc, err := net.Dial("tcp", from.callers)
	is.NoErr(err)
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	request := fmt.Sprintf("GET /read/x HTTP/1.1\r\nHost: a.example\r\n%s: 1\r\n%s: 4000\r\nUser-Agent: bench\r\nAccept: */*\r\n\r\n",
		headerNames().Attempt, headerNames().BudgetMs)
	exchange := func() int {
		_, err := io.WriteString(nc, request)
		is.NoErr(err)
		res, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, res.Body)
		is.NoErr(err)
		is.NoErr(res.Body.Close())
		return res.StatusCode
	}
	await(b, func() bool { return exchange() == http.StatusOK })
	b.ReportAllocs()
	for b.Loop() {
		is.Equal(exchange(), http.StatusOK)
	}
}
