package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"emberlead/proto"
	"emberlead/wire"
)

const clientTimeout = 30 * time.Second

func serverFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "server", Value: "http://127.0.0.1:7003", Sources: cli.EnvVars("EMBERLEAD_SERVER"), Usage: "`URL` of a daemon's operators' listener"},
		&cli.StringFlag{Name: "key", Sources: cli.EnvVars("EMBERLEAD_OPERATOR_KEY"), Usage: "operators' `KEY`"},
		outputFlag(),
	}, extra...)
}

// newDaemonClient returns a client of daemons, for one request.
func newDaemonClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DisableKeepAlives = true
	return wire.NewAnswerClient(transport)
}

// callOperatorAPI sends a request to the operators' listener and decodes the response into result. Statuses other than
// 200 and the accepted ones are errors.
func callOperatorAPI(ctx context.Context, c *cli.Command, method, path string, body []byte, result any, accepted ...int) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.String("server")+path, bytes.NewReader(body))
	if err != nil {
		return 0, usageError("%v", err)
	}
	req.Header.Set("Content-Type", "application/json")
	if key := c.String("key"); key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := newDaemonClient().Do(req)
	if err != nil {
		return 0, noResponseError(method, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, noResponseError(method, err)
	}
	for _, status := range append(accepted, http.StatusOK) {
		if resp.StatusCode == status {
			return status, json.Unmarshal(data, result)
		}
	}
	return resp.StatusCode, refusalError(resp.StatusCode, data)
}

// noResponseError returns the error for a request without a response. The outcome of a POST is unknown, since the
// change may have been made although its response was lost.
func noResponseError(method string, err error) error {
	code := ExitFailure
	kind := proto.KindUnavailable
	if method == http.MethodPost {
		code, kind = ExitUnknown, proto.KindUnknown
	}
	return withExitCode(code, &Error{Op: "call daemon", Kind: kind, Err: err})
}

func refusalError(status int, data []byte) error {
	var answer wire.OperatorError
	if json.Unmarshal(data, &answer) != nil || answer.Error == "" {
		answer = wire.OperatorError{Kind: proto.KindUnavailable, Error: http.StatusText(status)}
	}
	code := ExitFailure
	if answer.Kind == proto.KindUnknown {
		code = ExitUnknown
	}
	return withExitCode(code, newError("call daemon", answer.Kind, "%s", answer.Error))
}
