package node

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/quic-go/quic-go/http3"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

const selfSignedLifetime = 30 * 24 * time.Hour

// serverTLS returns a TLS configuration with the certificate of the settings, or with a new self-signed one if the
// settings name none.
func serverTLS(settings Settings) (*tls.Config, error) {
	var certificate tls.Certificate
	var err error
	if settings.CertificateFile == "" {
		certificate, err = selfSignedCertificate(settings.Service)
	} else {
		certificate, err = tls.LoadX509KeyPair(settings.CertificateFile, settings.KeyFile)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the certificate can't be used", "check certificateFile and keyFile")
	}
	return http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}), nil
}

func selfSignedCertificate(name string) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, err
	}
	template := &x509.Certificate{
		DNSNames:     []string{name},
		NotAfter:     time.Now().Add(selfSignedLifetime),
		NotBefore:    time.Now().Add(-time.Hour),
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: name},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}
