package entry

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"emberlead/proto"
	"emberlead/wire"
)

const (
	authorityValid   = 5 * 365 * 24 * time.Hour
	certificateValid = 90 * 24 * time.Hour
	// listValid is the validity period stated in lists of revoked certificates. Daemons use a list whatever its age.
	listValid = 365 * 24 * time.Hour

	fileAuthority    = "authority.pem"
	fileAuthorityKey = "authority.key"
	fileRevoked      = "revoked.pem"

	secretMode = 0o600
	publicMode = 0o644
)

func linkKeysCommand() *cli.Command {
	return &cli.Command{
		Name:  "linkkeys",
		Usage: "make, renew and revoke the certificates by which the daemons of emberlead relay know each other",
		Commands: []*cli.Command{
			{
				Name: "authority", Usage: "make an authority in a folder", ArgsUsage: "FOLDER",
				Flags: []cli.Flag{validFlag(authorityValid)}, Action: makeAuthority,
			},
			{
				Name: "certificate", Usage: "make or renew the certificate of a VM's daemon", ArgsUsage: "FOLDER VM",
				Flags: []cli.Flag{validFlag(certificateValid)}, Action: makeCertificate,
			},
			{
				Name: "revoke", Usage: "add a certificate to the folder's list of revoked ones", ArgsUsage: "FOLDER FILE",
				Action: revokeCertificate,
			},
		},
	}
}

func validFlag(length time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: "valid", Value: length, Usage: "`TIME` for which it is valid"}
}

func makeAuthority(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usage("linkkeys authority needs a folder")
	}
	folder := c.Args().First()
	if _, err := os.Stat(filepath.Join(folder, fileAuthorityKey)); err == nil {
		return exit(ExitFailed, newError("make authority", proto.KindConflict, "%s has one already; a new one goes into a folder of its own", folder))
	}
	pair, err := wire.NewAuthority(time.Now(), c.Duration("valid"))
	if err != nil {
		return exit(ExitFailed, err)
	}
	return writePair(c, folder, fileAuthority, fileAuthorityKey, pair)
}

func makeCertificate(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return usage("linkkeys certificate needs a folder with an authority and the name of a VM")
	}
	folder, vm := c.Args().Get(0), c.Args().Get(1)
	if vm != filepath.Base(vm) {
		return usage("the name of a VM is no path")
	}
	authority, err := readAuthority(folder)
	if err != nil {
		return exit(ExitFailed, err)
	}
	pair, err := authority.NewCertificate(proto.VM(vm), time.Now(), c.Duration("valid"))
	if err != nil {
		return exit(ExitFailed, err)
	}
	return writePair(c, folder, vm+".pem", vm+".key", pair)
}

func revokeCertificate(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return usage("linkkeys revoke needs a folder with an authority and the file of a certificate")
	}
	folder := c.Args().Get(0)
	authority, err := readAuthority(folder)
	if err != nil {
		return exit(ExitFailed, err)
	}
	certificate, err := readFile(c.Args().Get(1))
	if err != nil {
		return exit(ExitFailed, err)
	}
	path := filepath.Join(folder, fileRevoked)
	before, err := readFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return exit(ExitFailed, err)
	}
	list, err := authority.Revoke(before, certificate, time.Now(), listValid)
	if err != nil {
		return exit(ExitFailed, err)
	}
	return replaceFile(c, path, list, publicMode)
}

func readAuthority(folder string) (wire.KeyPair, error) {
	certificate, err := readFile(filepath.Join(folder, fileAuthority))
	if err != nil {
		return wire.KeyPair{}, err
	}
	key, err := readFile(filepath.Join(folder, fileAuthorityKey))
	return wire.KeyPair{Certificate: certificate, Key: key}, err
}

func readFile(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Op: "read", Kind: proto.KindNotFound, Err: err}
	}
	return text, nil
}

// writePair writes the key before the certificate: a daemon that reads the files in between keeps the credentials it
// has.
func writePair(c *cli.Command, folder, certificate, key string, pair wire.KeyPair) error {
	if err := replaceFile(c, filepath.Join(folder, key), pair.Key, secretMode); err != nil {
		return err
	}
	return replaceFile(c, filepath.Join(folder, certificate), pair.Certificate, publicMode)
}

// replaceFile replaces a file atomically, so that no daemon reads partial contents.
func replaceFile(c *cli.Command, path string, text []byte, mode os.FileMode) error {
	next := path + ".next"
	err := os.WriteFile(next, text, mode)
	if err == nil {
		err = os.Rename(next, path)
	}
	if err == nil {
		_, err = fmt.Fprintln(c.Root().Writer, path)
	}
	if err != nil {
		return exit(ExitFailed, &Error{Op: "write", Kind: proto.KindUnavailable, Err: err})
	}
	return nil
}
