package operator

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/control"
	"github.com/daisyhatch/daisyhatch/pkg/inifile"
)

const (
	keyVariable     = "DAISYHATCH_KEY"
	dialTimeout     = 2 * time.Second
	maxAnswerBytes  = 64 << 20
	maxKeyFileBytes = 4096
)

// client calls the control VMs one after the other until one answers.
type client struct {
	servers []server
	timeout time.Duration
	key     string
}

type server struct {
	address string
	service daisyhatchv1connect.OperatorServiceClient
}

func (s *session) connect() (*client, error) {
	if len(s.flags.Server) == 0 {
		return nil, fmt.Errorf("%w: name a control VM with --server or DAISYHATCH_SERVERS", ErrUsage)
	}
	key, err := s.key()
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	scheme := "http"
	if s.flags.CA != "" {
		scheme = "https"
		transport.TLSClientConfig, err = tlsConfig(s.flags)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUsage, err)
		}
	}
	c := &client{timeout: s.flags.Timeout, key: key}
	for _, a := range s.flags.Server {
		if _, err := inifile.ParseAddress(a); err != nil {
			return nil, fmt.Errorf("%w: --server: %w", ErrUsage, err)
		}
		service := daisyhatchv1connect.NewOperatorServiceClient(
			&http.Client{Transport: transport}, scheme+"://"+a, connect.WithReadMaxBytes(maxAnswerBytes))
		c.servers = append(c.servers, server{address: a, service: service})
	}
	return c, nil
}

func tlsConfig(f *cli) (*tls.Config, error) {
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, fmt.Errorf("--ca: %w", err)
	}
	c := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: x509.NewCertPool()}
	if !c.RootCAs.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("--ca: %s holds no certificate", f.CA)
	}
	if f.Cert == "" {
		return c, nil
	}
	cert, err := tls.LoadX509KeyPair(f.Cert, f.CertKey)
	if err != nil {
		return nil, fmt.Errorf("--cert: %w", err)
	}
	c.Certificates = []tls.Certificate{cert}
	return c, nil
}

func (s *session) key() (string, error) {
	if key := s.getenv(keyVariable); key != "" {
		return key, nil
	}
	if s.flags.KeyFile == "" {
		return "", nil
	}
	text, err := os.ReadFile(s.flags.KeyFile)
	if err != nil {
		return "", fmt.Errorf("%w: --key-file: %w", ErrUsage, err)
	}
	if len(text) > maxKeyFileBytes {
		return "", fmt.Errorf("%w: --key-file: file is longer than %d bytes", ErrUsage, maxKeyFileBytes)
	}
	return strings.TrimSpace(string(text)), nil
}

// method is one call of the operators' interface, such as OperatorServiceClient.Status.
type method[Q, A any] func(daisyhatchv1connect.OperatorServiceClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error)

// call tries the servers in turn until one answers or refuses. Its error is the refusal, ErrUnreachable when
// certainly no server took the call, or else ErrUnknownOutcome.
func call[Q, A any](ctx context.Context, c *client, m method[Q, A], request *Q) (*A, error) {
	var failed []error
	sent := false
	for _, s := range c.servers {
		answer, err := callOne(ctx, c, s, m, request)
		if err == nil {
			return answer, nil
		}
		if final(err) {
			return nil, fmt.Errorf("%w by %s: %w", ErrRefused, s.address, err)
		}
		sent = sent || !neverSent(err)
		failed = append(failed, fmt.Errorf("%s: %w", s.address, err))
		if ctx.Err() != nil {
			break
		}
	}
	if sent {
		return nil, fmt.Errorf("%w: %w", ErrUnknownOutcome, errors.Join(failed...))
	}
	return nil, fmt.Errorf("%w: %w", ErrUnreachable, errors.Join(failed...))
}

// read is call for requests that change nothing, which therefore have no unknown outcome.
func read[Q, A any](ctx context.Context, c *client, m method[Q, A], request *Q) (*A, error) {
	answer, err := call(ctx, c, m, request)
	if errors.Is(err, ErrUnknownOutcome) {
		return nil, fmt.Errorf("%w: %s", ErrUnreachable, strings.TrimPrefix(err.Error(), ErrUnknownOutcome.Error()+": "))
	}
	return answer, err
}

func callOne[Q, A any](ctx context.Context, c *client, s server, m method[Q, A], request *Q) (*A, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	r := connect.NewRequest(request)
	if c.key != "" {
		r.Header().Set("Authorization", "Bearer "+c.key)
	}
	answer, err := m(s.service, ctx, r)
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

// final reports whether another control VM would answer the same.
func final(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeNotFound, connect.CodeAlreadyExists, connect.CodePermissionDenied,
		connect.CodeUnauthenticated, connect.CodeFailedPrecondition, connect.CodeOutOfRange, connect.CodeUnimplemented:
		return true
	}
	return false
}

// neverSent reports whether the call certainly had no effect: no connection was made, or the control VM says so.
func neverSent(err error) bool {
	var answer *connect.Error
	if errors.As(err, &answer) && answer.Meta().Get(control.OutcomeHeader) == control.OutcomeNotTaken {
		return true
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func getConfiguration(ctx context.Context, c *client, version uint64) (*daisyhatchv1.ConfigurationVersion, error) {
	answer, err := read(ctx, c, daisyhatchv1connect.OperatorServiceClient.GetConfiguration,
		&daisyhatchv1.GetConfigurationRequest{Version: version})
	if err != nil {
		return nil, err
	}
	if answer.GetConfiguration() == nil {
		return nil, fmt.Errorf("%w: there is no version %d", ErrRefused, version)
	}
	return answer.GetConfiguration(), nil
}

func getStatus(ctx context.Context, c *client) (*daisyhatchv1.StatusResponse, error) {
	return read(ctx, c, daisyhatchv1connect.OperatorServiceClient.Status, &daisyhatchv1.StatusRequest{})
}
