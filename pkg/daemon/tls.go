package daemon

import (
	"crypto/tls"
	"fmt"

	"github.com/go-logr/logr"

	"github.com/daisyhatch/daisyhatch/pkg/settings"
	"github.com/daisyhatch/daisyhatch/pkg/tlsconf"
)

// serverTLS returns the TLS settings of a listener; nil when none are set.
func serverTLS(c settings.Certificate, mutual bool, log logr.Logger) (*tls.Config, error) {
	if !c.Enabled() {
		return nil, nil
	}
	src, err := tlsconf.NewSource(certificateFiles(c, mutual), log)
	if err != nil {
		return nil, fmt.Errorf("daemon: %w", err)
	}
	return src.Server(), nil
}

// peerTLS returns the TLS settings of calls to other VMs; nil when none are set.
func peerTLS(s *settings.Settings, log logr.Logger) (*tls.Config, error) {
	if !s.TLS.Peers.Enabled() {
		return nil, nil
	}
	src, err := tlsconf.NewSource(certificateFiles(s.TLS.Peers, true), log)
	if err != nil {
		return nil, fmt.Errorf("daemon: %w", err)
	}
	return src.Client(), nil
}
