package wire

import (
	"context"
	"net"
	"time"
)

// linkConnect bounds one try at a connection to another daemon. The opening packet is lost when the other VM has no
// power yet or a path loses packets, and the system sends it again only after a second, in which nothing that the other
// daemon does for this one is done. Two hundred milliseconds are several times the way between regions.
const linkConnect = 200 * time.Millisecond

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// anew returns a dialFunc that tries again when a try has brought no answer for so long, until the context ends. A
// refusal is an answer.
func (dial dialFunc) anew(each time.Duration) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		for {
			conn, unanswered, err := dial.within(ctx, each, network, address)
			if !unanswered || ctx.Err() != nil {
				return conn, err
			}
		}
	}
}

// within makes one try, and tells whether it ended because it brought no answer in time.
func (dial dialFunc) within(ctx context.Context, each time.Duration, network, address string) (conn net.Conn, unanswered bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, each)
	defer cancel()
	conn, err = dial(ctx, network, address)
	return conn, err != nil && ctx.Err() != nil, err
}
