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
	authorityLifetime   = 5 * 365 * 24 * time.Hour
	certificateLifetime = 90 * 24 * time.Hour
	// revocationListLifetime is the validity period stated in lists of revoked certificates. Daemons use a list whatever its age.
	revocationListLifetime = 365 * 24 * time.Hour

	fileAuthority    = "authority.pem"
	fileAuthorityKey = "authority.key"
	fileRevoked      = "revoked.pem"

	privateFileMode = 0o600
	publicFileMode  = 0o644
)

func linkKeysCommand() *cli.Command {
	return &cli.Command{
		Name:  "linkkeys",
		Usage: "make, renew and revoke the certificates by which the daemons of emberlead relay know each other",
		Commands: []*cli.Command{
			{
				Name: "authority", Usage: "make an authority in a folder", ArgsUsage: "FOLDER",
				Flags: []cli.Flag{lifetimeFlag(authorityLifetime)}, Action: createAuthority,
			},
			{
				Name: "certificate", Usage: "make or renew the certificate of a VM's daemon", ArgsUsage: "FOLDER VM",
				Flags: []cli.Flag{lifetimeFlag(certificateLifetime)}, Action: createCertificate,
			},
			{
				Name: "revoke", Usage: "add a certificate to the folder's list of revoked ones", ArgsUsage: "FOLDER FILE",
				Action: revokeCertificate,
			},
		},
	}
}

func lifetimeFlag(value time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: "valid", Value: value, Usage: "`TIME` for which it is valid"}
}

func createAuthority(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return usageError("linkkeys authority needs a folder")
	}
	folder := c.Args().First()
	if _, err := os.Stat(filepath.Join(folder, fileAuthorityKey)); err == nil {
		return withExitCode(ExitFailure, newError("make authority", proto.KindConflict, "%s has one already; a new one goes into a folder of its own", folder))
	}
	pair, err := wire.NewAuthority(time.Now(), c.Duration("valid"))
	if err != nil {
		return withExitCode(ExitFailure, err)
	}
	return writeKeyPair(c, folder, fileAuthority, fileAuthorityKey, pair)
}

func createCertificate(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return usageError("linkkeys certificate needs a folder with an authority and the name of a VM")
	}
	folder, vm := c.Args().Get(0), c.Args().Get(1)
	if vm != filepath.Base(vm) {
		return usageError("the name of a VM is no path")
	}
	authority, err := readAuthority(folder)
	if err != nil {
		return withExitCode(ExitFailure, err)
	}
	pair, err := authority.NewCertificate(proto.VM(vm), time.Now(), c.Duration("valid"))
	if err != nil {
		return withExitCode(ExitFailure, err)
	}
	return writeKeyPair(c, folder, vm+".pem", vm+".key", pair)
}

func revokeCertificate(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return usageError("linkkeys revoke needs a folder with an authority and the file of a certificate")
	}
	folder := c.Args().Get(0)
	authority, err := readAuthority(folder)
	if err != nil {
		return withExitCode(ExitFailure, err)
	}
	certificate, err := readFile(c.Args().Get(1))
	if err != nil {
		return withExitCode(ExitFailure, err)
	}
	path := filepath.Join(folder, fileRevoked)
	existing, err := readFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return withExitCode(ExitFailure, err)
	}
	list, err := authority.Revoke(existing, certificate, time.Now(), revocationListLifetime)
	if err != nil {
		return withExitCode(ExitFailure, err)
	}
	return replaceFile(c, path, list, publicFileMode)
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
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Op: "read", Kind: proto.KindNotFound, Err: err}
	}
	return data, nil
}

// writeKeyPair writes the key before the certificate: a daemon that reads the files in between keeps the credentials it has.
func writeKeyPair(c *cli.Command, folder, certificate, key string, pair wire.KeyPair) error {
	if err := replaceFile(c, filepath.Join(folder, key), pair.Key, privateFileMode); err != nil {
		return err
	}
	return replaceFile(c, filepath.Join(folder, certificate), pair.Certificate, publicFileMode)
}

// replaceFile replaces a file atomically, so that no daemon reads partial contents.
func replaceFile(c *cli.Command, path string, data []byte, mode os.FileMode) error {
	temporary := path + ".next"
	err := os.WriteFile(temporary, data, mode)
	if err == nil {
		err = os.Rename(temporary, path)
	}
	if err == nil {
		_, err = fmt.Fprintln(c.Root().Writer, path)
	}
	if err != nil {
		return withExitCode(ExitFailure, &Error{Op: "write", Kind: proto.KindUnavailable, Err: err})
	}
	return nil
}
