package serve

import (
	"time"
)

// expiryNotice is how long before its certificate expires a daemon logs this at each start and reload.
const expiryNotice = 14 * 24 * time.Hour

// linkAuth is the method by which daemons authenticate to each other.
type linkAuth string

const (
	authStoreAddress linkAuth = "storeAddress"
	authKey          linkAuth = "key"
	authCertificates linkAuth = "certificates"
)

// linkAuth returns the method by which daemons authenticate to each other.
func (d *Relay) linkAuth() linkAuth {
	switch {
	case d.credentials != nil:
		return authCertificates
	case d.linkKey != d.settings.StoreAddr.String():
		return authKey
	}
	return authStoreAddress
}

// logLinkAuth logs at the start how daemons authenticate to each other, and whether that keeps anybody out.
func (d *Relay) logLinkAuth() {
	switch d.linkAuth() {
	case authCertificates:
		d.log.Info("daemons authenticate with certificates", "expiry", d.credentials.Expiry())
		d.logExpiry()
	case authKey:
		d.log.Warn("daemons authenticate with a key that is sent unencrypted over their links")
	case authStoreAddress:
		d.log.Warn("anyone who can reach the port between daemons can join: there is neither a key nor a certificate")
	}
}

func (d *Relay) logExpiry() {
	if expiry := d.credentials.Expiry(); expiry.Sub(d.clock.Now()) < expiryNotice {
		d.log.Warn("the certificate of this daemon expires soon", "expiry", expiry)
	}
}

// reloadCredentials applies changed certificates. All links are reconnected, so that a revoked daemon loses those that it has.
func (d *Relay) reloadCredentials(cause string) {
	if d.credentials == nil {
		return
	}
	changed, err := d.credentials.Reload()
	switch {
	case err != nil:
		if !d.credentialsFailed {
			d.log.Warn("cannot reload the certificates between daemons; keeping the current ones", "cause", cause, "error", err)
		}
		d.credentialsFailed = true
		return
	case changed:
		d.log.Info("certificates between daemons read again", "cause", cause, "expiry", d.credentials.Expiry())
		d.logExpiry()
		d.peers.links.Reconnect()
	}
	d.credentialsFailed = false
}
