package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// TLS configures encryption of connections with callers and peers.
type TLS struct {
	// Callers applies to connections with callers. Default none: callers use plain HTTP.
	Callers Certificate
	// Peers applies to connections between instances. Default none: peers use plain TCP. All instances of a fleet must
	// use the same setting.
	Peers Certificate
}

// Certificate holds the paths of the TLS files for one kind of connection.
type Certificate struct {
	// CertificateFile is the path of the PEM certificate chain. Empty (the default) disables TLS.
	CertificateFile string
	// KeyFile is the path of the PEM private key. Required with CertificateFile.
	KeyFile string
	// AuthorityFile is the path of the PEM certificates of authorities, one of which must have signed the other
	// side's certificate. Required for peers. For callers, empty (the default) means that no client certificate is requested.
	AuthorityFile string
}

// Enabled reports whether TLS is used.
func (c Certificate) Enabled() bool { return c.CertificateFile != "" }

// Config reads the files and returns the TLS configuration, or nil if TLS is disabled. The configuration can be used for
// servers and clients: both present the certificate, and verify that of the other side if there is an authority file.
func (c Certificate) Config() (*tls.Config, error) {
	if !c.Enabled() {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(c.CertificateFile, c.KeyFile)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "check the PEM files that [tls] names",
			"certificate %q with key %q cannot be used", c.CertificateFile, c.KeyFile)
	}
	config := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}
	if c.AuthorityFile == "" {
		return config, nil
	}
	pool, err := readAuthorities(c.AuthorityFile)
	if err != nil {
		return nil, err
	}
	config.RootCAs, config.ClientCAs = pool, pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

func readAuthorities(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "check the path in [tls]", "authority file %q cannot be read", path)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fault.New(fault.Invalid, "give the path of a file with PEM certificates", "authority file %q contains no certificate", path)
	}
	return pool, nil
}
