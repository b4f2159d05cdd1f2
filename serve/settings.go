package serve

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"

	"emberlead/proto"
	"emberlead/wire"
)

// Settings configure one daemon.
type Settings struct {
	VM        proto.VM   `json:"vm" validate:"required" jsonschema:"description=Name of the VM that the daemon runs on; unique."`
	Zone      proto.Zone `json:"zone" validate:"required,contains=/" jsonschema:"description=Availability zone of the VM as region/zone."`
	Callers   Callers    `json:"callers"`
	Peers     Peers      `json:"peers"`
	Operators Operators  `json:"operators"`
	Platform  Platform   `json:"platform"`
	Limits    Limits     `json:"limits"`
	Timing    Timing     `json:"timing"`
	Log       Log        `json:"log"`
	Traces    Traces     `json:"traces"`
}

// TLS names the PEM files of a listener.
type TLS struct {
	Certificate string `json:"certificate,omitempty" validate:"required_with=Key"`
	Key         string `json:"key,omitempty" validate:"required_with=Certificate"`
	// Authority signs the certificates of peers.
	Authority string `json:"authority,omitempty"`
}

// Callers holds the settings of the callers' listener, where the platform's balancer polls /readyz.
type Callers struct {
	Listen netip.AddrPort `json:"listen" validate:"required" jsonschema:"type=string"`
	TLS    TLS            `json:"tls,omitempty"`
}

// Peers holds the settings of the listener and links between daemons.
type Peers struct {
	Listen    netip.AddrPort `json:"listen" validate:"required" jsonschema:"type=string"`
	Advertise netip.AddrPort `json:"advertise,omitzero" jsonschema:"type=string,description=Address that other daemons dial; the listening one if left out."`
	SharedKey string         `json:"sharedKey,omitempty" jsonschema:"description=Key between daemons on loopback; elsewhere mutual TLS is required."`
	TLS       TLS            `json:"tls,omitempty"`
	Seeds     []Seed         `json:"seeds,omitempty" validate:"dive" jsonschema:"description=Daemons to ask when the platform's VM list cannot be read at the start."`
}

// Seed is a daemon that is known before the platform's list is read.
type Seed struct {
	VM      proto.VM       `json:"vm" validate:"required"`
	Zone    proto.Zone     `json:"zone" validate:"required"`
	Address netip.AddrPort `json:"address" validate:"required" jsonschema:"type=string"`
}

// Operators holds the settings of the operators' listener.
type Operators struct {
	Listen netip.AddrPort `json:"listen" validate:"required" jsonschema:"type=string"`
	Key    string         `json:"key,omitempty"`
	TLS    TLS            `json:"tls,omitempty"`
}

// Platform holds the settings of the platform's client.
type Platform struct {
	Address         string         `json:"address" validate:"required,url"`
	ReadsPerSecond  float64        `json:"readsPerSecond" validate:"gt=0"`
	WritesPerSecond float64        `json:"writesPerSecond" validate:"gt=0"`
	CallTimeout     proto.Duration `json:"wait" validate:"gt=0" jsonschema:"description=Longest time that one call may take with its retries."`
}

// Limits restricts what callers can use.
type Limits struct {
	BodyBytes     int64          `json:"bodyBytes" validate:"gt=0"`
	HeaderBytes   int            `json:"headerBytes" validate:"gt=0"`
	OpenRequests  int64          `json:"openRequests" validate:"gt=0"`
	BufferedBytes int            `json:"bufferedBytes" validate:"gt=0" jsonschema:"description=Bytes of a stream that may wait for one slow caller."`
	ReadTimeout   proto.Duration `json:"readWait" validate:"gt=0"`
	WriteTimeout  proto.Duration `json:"writeWait" validate:"gt=0"`
	Subset        int            `json:"subset" validate:"gt=0" jsonschema:"description=Targets of one pool that the daemon uses."`
}

// Timing holds the daemon's intervals.
type Timing struct {
	TickInterval   proto.Duration `json:"tick" validate:"gt=0" jsonschema:"description=How often deadlines and queues are looked at."`
	LoadInterval   proto.Duration `json:"load" validate:"gt=0" jsonschema:"description=How often targets' load is read and usage is shared."`
	Heartbeat      proto.Duration `json:"heartbeat" validate:"gt=0"`
	Silence        proto.Duration `json:"silence" validate:"gtfield=Heartbeat" jsonschema:"description=How long a link may be silent before an alarm."`
	StopLead       proto.Duration `json:"stopLead" validate:"gte=0" jsonschema:"description=How long before its planned stop a VM gets no new work."`
	DrainTimeout   proto.Duration `json:"drain" validate:"gt=0" jsonschema:"description=Longest time that a stopping daemon waits for its requests."`
	UnreadyTime    proto.Duration `json:"unready" validate:"gte=0" jsonschema:"description=Time between failing /readyz and closing the callers' listener, for the balancer to notice."`
	KeyRetention   proto.Duration `json:"keyRetention" validate:"gt=0" jsonschema:"description=How long an idempotency key is remembered."`
	PollInterval   proto.Duration `json:"pollStore" validate:"gt=0"`
	RosterInterval proto.Duration `json:"reviseRoster" validate:"gt=0"`
}

// Log holds the settings of the log.
type Log struct {
	Level string `json:"level" validate:"oneof=trace debug info warn error"`
	JSON  bool   `json:"json"`
}

// Traces holds the settings of tracing.
type Traces struct {
	Exporter wire.Exporter `json:"exporter" validate:"oneof=none stdout otlp"`
	Endpoint string        `json:"endpoint,omitempty" validate:"required_if=Exporter otlp"`
	Fraction float64       `json:"fraction" validate:"gte=0,lte=1" jsonschema:"description=Part of the requests that are traced."`
}

// DefaultSettings returns the default settings; VM, zone, addresses and platform have no default.
func DefaultSettings() Settings {
	platform := wire.DefaultPlatformLimits()
	return Settings{
		Platform: Platform{ReadsPerSecond: platform.ReadsPerSecond, WritesPerSecond: platform.WritesPerSecond, CallTimeout: proto.Duration(platform.CallTimeout)},
		Limits: Limits{
			BodyBytes: 1 << 20, HeaderBytes: 16 << 10, OpenRequests: 10_000, BufferedBytes: 256 << 10,
			ReadTimeout: proto.Duration(5 * time.Second), WriteTimeout: proto.Duration(5 * time.Second), Subset: 48,
		},
		Timing: Timing{
			TickInterval: proto.Duration(10 * time.Millisecond), LoadInterval: proto.Duration(500 * time.Millisecond),
			Heartbeat: proto.Duration(time.Second), Silence: proto.Duration(3 * time.Second),
			StopLead: proto.Duration(2 * time.Second), DrainTimeout: proto.Duration(time.Minute),
			UnreadyTime: proto.Duration(time.Second), KeyRetention: proto.Duration(time.Hour),
			PollInterval: proto.Duration(time.Second), RosterInterval: proto.Duration(time.Second),
		},
		Log:    Log{Level: "info"},
		Traces: Traces{Exporter: wire.ExporterNone, Fraction: 1},
	}
}

// ReadSettings decodes settings over the defaults and validates them; it fails with KindInvalid, listing each problem with its path.
func ReadSettings(data []byte) (Settings, error) {
	s := DefaultSettings()
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, &Error{Op: "read settings", Kind: proto.KindInvalid, Err: err}
	}
	return s, s.Validate()
}

// LoadSettings reads a settings file; it fails with KindInvalid or KindNotFound.
func LoadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{Op: "read settings", Kind: proto.KindNotFound, Err: err}
	}
	s, err := ReadSettings(data)
	if err != nil {
		return s, newError("read settings", proto.KindInvalid, "%s: %v", path, err)
	}
	return s, nil
}

// Validate returns all problems of the settings in one error.
func (s *Settings) Validate() error {
	var problems []string
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(jsonName)
	if err := validate.Struct(s); err != nil {
		fields, ok := err.(validator.ValidationErrors)
		if !ok {
			return &Error{Op: "check settings", Kind: proto.KindInvalid, Err: err}
		}
		for _, field := range fields {
			_, path, _ := strings.Cut(field.Namespace(), ".")
			problems = append(problems, fmt.Sprintf("%s: must satisfy %q", path, strings.TrimSpace(field.Tag()+" "+field.Param())))
		}
	}
	problems = append(problems, s.checkCredentials()...)
	if len(problems) > 0 {
		return newError("check settings", proto.KindInvalid, "%s", strings.Join(problems, "; "))
	}
	return nil
}

// checkCredentials rejects listeners that anyone could reach without credentials.
func (s *Settings) checkCredentials() []string {
	var problems []string
	if s.Peers.TLS.Certificate == "" && s.Peers.SharedKey == "" {
		problems = append(problems, "peers: needs sharedKey on loopback or tls")
	}
	if !s.Peers.Listen.Addr().IsLoopback() && (s.Peers.TLS.Certificate == "" || s.Peers.TLS.Authority == "") {
		problems = append(problems, "peers.tls: certificate and authority are required off loopback")
	}
	if !s.Operators.Listen.Addr().IsLoopback() && s.Operators.Key == "" {
		problems = append(problems, "operators.key: is required off loopback")
	}
	if !s.Callers.Listen.Addr().IsLoopback() && s.Callers.TLS.Certificate == "" {
		problems = append(problems, "callers.tls: is required off loopback, since callers' keys pass there")
	}
	return problems
}

// advertised returns the address that other daemons dial.
func (s *Settings) advertised() netip.AddrPort {
	if s.Peers.Advertise.IsValid() {
		return s.Peers.Advertise
	}
	return s.Peers.Listen
}

// config loads the TLS files; mutual also requires and verifies the certificate of the other side.
func (t *TLS) config(mutual bool) (*tls.Config, error) {
	if t.Certificate == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, &Error{Op: "load certificate", Kind: proto.KindInvalid, Err: err}
	}
	c := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}
	if !mutual {
		return c, nil
	}
	pem, err := os.ReadFile(t.Authority)
	if err != nil {
		return nil, &Error{Op: "load authority", Kind: proto.KindInvalid, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, newError("load authority", proto.KindInvalid, "%s holds no certificate", t.Authority)
	}
	c.RootCAs, c.ClientCAs = pool, pool
	c.ClientAuth = tls.RequireAndVerifyClientCert
	return c, nil
}
