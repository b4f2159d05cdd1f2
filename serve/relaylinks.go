package serve

import (
	"time"
)

// expiryNotice is how long before the end of its certificate a daemon says so at each start and reload.
const expiryNotice = 14 * 24 * time.Hour

// linkAuth names how daemons know each other.
type linkAuth string

const (
	authStore        linkAuth = "storeAddress"
	authKey          linkAuth = "key"
	authCertificates linkAuth = "certificates"
)

// linkAuth returns how daemons know each other.
func (d *Relay) linkAuth() linkAuth {
	switch {
	case d.credentials != nil:
		return authCertificates
	case d.linkKey != d.settings.StoreAddr.String():
		return authKey
	}
	return authStore
}

// noteLinkAuth logs at the start how daemons know each other, and whether that keeps anybody out.
func (d *Relay) logLinkAuth() {
	switch d.linkAuth() {
	case authCertificates:
		d.log.Info("daemons know each other by certificates", "expiry", d.credentials.Expiry())
		d.logExpiry()
	case authKey:
		d.log.Warn("daemons know each other by a key that passes over their links unencrypted")
	case authStore:
		d.log.Warn("whoever reaches the port between daemons can take part: there is neither a key nor a certificate")
	}
}

func (d *Relay) logExpiry() {
	if expiry := d.credentials.Expiry(); expiry.Sub(d.clock.Now()) < expiryNotice {
		d.log.Warn("the certificate of this daemon expires soon", "expiry", expiry)
	}
}

// reloadCredentials takes over changed certificates: links are made anew, so that a revoked daemon loses the ones it has.
func (d *Relay) reloadCredentials(cause string) {
	if d.credentials == nil {
		return
	}
	changed, err := d.credentials.Reload()
	switch {
	case err != nil:
		if !d.credentialsFailed {
			d.log.Warn("the certificates between daemons cannot be read again, the old ones stay", "cause", cause, "error", err)
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
