package entry

import (
	"bytes"
	"context"
	"path/filepath"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"

	"emberlead/proto"
	"emberlead/wire"
)

// TestLinkKeys creates an authority and certificates, and loads them as a daemon does.
func TestLinkKeys(t *testing.T) {
	dir := t.TempDir()
	file := func(name string) string { return filepath.Join(dir, name) }
	run := func(args ...string) (int, string) {
		var out bytes.Buffer
		code := Main(append([]string{"emberlead", "linkkeys"}, args...), &out, &out)
		return code, out.String()
	}
	mustRun := func(args ...string) {
		t.Helper()
		if code, text := run(args...); code != ExitSuccess {
			t.Fatalf("%v: exit code %d: %s", args, code, text)
		}
	}
	files := wire.CredentialFiles{Certificate: file("vm-1.pem"), Key: file("vm-1.key"), Authority: file(fileAuthority)}
	mustRun("authority", dir)
	mustRun("certificate", dir, "vm-1")
	credentials, err := wire.LoadCredentials(files)
	if err != nil {
		t.Fatal(err)
	}
	mustRun("certificate", dir, "vm-1")
	if changed, err := credentials.Reload(); !changed || err != nil {
		t.Errorf("after renewing the certificate: changed %t, error %v", changed, err)
	}
	mustRun("certificate", dir, "vm-2")
	mustRun("revoke", dir, file("vm-2.pem"))
	mustRun("revoke", dir, file("vm-1.pem"))
	files.Revoked = file(fileRevoked)
	if _, err := wire.LoadCredentials(files); err != nil {
		t.Error(err)
	}
	failures := []struct {
		args []string
		code int
		want string
	}{
		{[]string{"authority", dir}, ExitFailure, "has one already"},
		{[]string{"authority"}, ExitUsage, "needs a folder"},
		{[]string{"certificate", dir}, ExitUsage, "the name of a VM"},
		{[]string{"certificate", dir, "../vm"}, ExitUsage, "no path"},
		{[]string{"certificate", t.TempDir(), "vm-1"}, ExitFailure, string(proto.KindNotFound)},
		{[]string{"revoke", dir, file("vm-9.pem")}, ExitFailure, string(proto.KindNotFound)},
	}
	for _, f := range failures {
		if code, text := run(f.args...); code != f.code || !strings.Contains(text, f.want) {
			t.Errorf("%v: exit code %d, want %d, and %q in: %s", f.args, code, f.code, f.want, text)
		}
	}
}

// TestRelayRequiresAllCertificateFlags parses relay's certificate flags without starting a daemon.
func TestRelayRequiresAllCertificateFlags(t *testing.T) {
	scenarios := []struct {
		testName string
		args     []string
		want     proto.Kind
	}{
		{"no certificates", nil, ""},
		{"certificate without key", []string{"--link-certificate", "a.pem"}, proto.KindInvalid},
		{"revocation list without certificates", []string{"--link-revoked", "a.pem"}, proto.KindInvalid},
		{"missing files", []string{"--link-certificate", "no.pem", "--link-certificate-key", "no.key", "--link-authority", "no.pem"}, proto.KindInvalid},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			command := relayCommand()
			command.Action = func(_ context.Context, c *cli.Command) error {
				credentials, err := linkCredentials(c)
				if credentials != nil || proto.KindOf(err) != s.want {
					t.Errorf("certificates %v, error %v, want kind %q", credentials, err, s.want)
				}
				return nil
			}
			if err := command.Run(t.Context(), append([]string{"relay"}, s.args...)); err != nil {
				t.Fatal(err)
			}
		})
	}
}
