package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"fuchsiahub.example/fuchsiahub/internal/fault"
)

// TLS protects connections of callers and peers.
type TLS struct {
	// Callers protects the connections of callers. Default none: callers use plain HTTP.
	Callers Certificate
	// Peers protects the connections between instances. Default none: peers use plain TCP. All instances of a fleet
	// must agree.
	Peers Certificate
}

// Certificate names the files of one side of TLS.
type Certificate struct {
	// CertificateFile is the path of the PEM certificate chain. Empty (the default) turns TLS off on this side.
	CertificateFile string
	// KeyFile is the path of the PEM private key. Required with CertificateFile.
	KeyFile string
	// AuthorityFile is the path of the PEM certificates that must have signed the other side's certificate. Required
	// for peers. For callers, empty (the default) means that no certificate is asked for.
	AuthorityFile string
}

// Enabled reports whether this side uses TLS.
func (c Certificate) Enabled() bool { return c.CertificateFile != "" }

// Config reads the files. It returns nil when TLS is off. The configuration serves both ends of a connection: each
// end presents the certificate, and checks the other's when there is an authority file.
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
		return nil, fault.New(fault.Invalid, "name a file with PEM certificates", "authority file %q holds no certificate", path)
	}
	return pool, nil
}
