// Package tlsconf builds TLS settings whose certificates are read again when their files change, so that they
// are rotated without a restart.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Errors of this package.
var (
	// ErrBadCertificate means that a certificate or key file can't be used.
	ErrBadCertificate = errors.New("tlsconf: bad certificate")
	// ErrBadAuthority means that a file of certificate authorities holds none.
	ErrBadAuthority = errors.New("tlsconf: no certificate authority in file")
)

// checkEvery is the least time between two looks at the files.
const checkEvery = time.Second

// Files names the files of one side of TLS, in PEM.
type Files struct {
	Certificate string
	Key         string
	// Authority holds the authorities that the other side's certificate must come from; empty asks for none.
	Authority string
}

// Source holds a certificate and authorities and reads them again when their files change. A file that turned
// bad is logged and the last good content stays in use. It is safe for concurrent use.
type Source struct {
	files Files
	log   logr.Logger
	now   func() time.Time

	mu      sync.Mutex
	checked time.Time
	stamp   fileStamp
	cert    *tls.Certificate
	pool    *x509.CertPool
}

type fileStamp struct {
	cert, key, ca time.Time
}

// NewSource reads files. It returns ErrBadCertificate or ErrBadAuthority when they can't be used.
func NewSource(files Files, log logr.Logger) (*Source, error) {
	s := &Source{files: files, log: log, now: time.Now}
	stamp, err := s.readStamp()
	if err != nil {
		return nil, err
	}
	if err := s.load(stamp); err != nil {
		return nil, err
	}
	s.checked = s.now()
	return s, nil
}

// Server returns the settings of a listener. With an authority it demands a certificate of callers.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := s.current()
			c := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				Certificates: []tls.Certificate{*cert},
				NextProtos:   []string{"h2", "http/1.1"},
			}
			if pool != nil {
				c.ClientAuth = tls.RequireAndVerifyClientCert
				c.ClientCAs = pool
			}
			return c, nil
		},
	}
}

// Client returns the settings for calls to other VMs. The other side's certificate is checked against the
// authority and must be valid for the IP number that is called.
func (s *Source) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
		// The library's own check uses fixed authorities; verify does the same check with the current ones.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain and the name.
		VerifyConnection:   s.verify,
	}
}

func (s *Source) verify(cs tls.ConnectionState) error {
	_, pool := s.current()
	if len(cs.PeerCertificates) == 0 {
		return fmt.Errorf("%w: none sent", ErrBadCertificate)
	}
	opts := x509.VerifyOptions{
		Roots:         pool,
		DNSName:       cs.ServerName,
		Intermediates: x509.NewCertPool(),
		CurrentTime:   s.now(),
	}
	for _, c := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	if _, err := cs.PeerCertificates[0].Verify(opts); err != nil {
		return fmt.Errorf("%w: %w", ErrBadCertificate, err)
	}
	return nil
}

func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now().Sub(s.checked) >= checkEvery {
		s.checked = s.now()
		s.reload()
	}
	return s.cert, s.pool
}

func (s *Source) reload() {
	stamp, err := s.readStamp()
	if err != nil {
		s.log.Error(err, "certificate files can't be read; the last good ones stay in use")
		return
	}
	if stamp == s.stamp {
		return
	}
	if err := s.load(stamp); err != nil {
		s.log.Error(err, "new certificate refused; the last good one stays in use")
		return
	}
	s.log.Info("certificate reloaded", "file", s.files.Certificate)
}

func (s *Source) load(stamp fileStamp) error {
	cert, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrBadCertificate, err)
	}
	var pool *x509.CertPool
	if s.files.Authority != "" {
		if pool, err = readPool(s.files.Authority); err != nil {
			return err
		}
	}
	s.cert, s.pool, s.stamp = &cert, pool, stamp
	return nil
}

func readPool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadAuthority, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%w: %s", ErrBadAuthority, file)
	}
	return pool, nil
}

func (s *Source) readStamp() (fileStamp, error) {
	var out fileStamp
	var err error
	if out.cert, err = modified(s.files.Certificate); err != nil {
		return out, err
	}
	if out.key, err = modified(s.files.Key); err != nil {
		return out, err
	}
	if s.files.Authority != "" {
		out.ca, err = modified(s.files.Authority)
	}
	return out, err
}

func modified(file string) (time.Time, error) {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}, fmt.Errorf("%w: %w", ErrBadCertificate, err)
	}
	return info.ModTime(), nil
}
