package main

import (
	"fmt"

	"endiveflow.example/endiveflow/standin"
)

type standinCertificateCommand struct {
	Dir  string   `default:"." type:"existingdir" help:"Directory of the files service.crt and service.key."`
	Name []string `required:"" help:"Name of a service; may be repeated."`
}

// Help returns an example of the command.
func (standinCertificateCommand) Help() string {
	return `Example:
  endiveflow standin certificate --dir examples --name rota --name draws`
}

// Run writes a certificate and its key.
func (c standinCertificateCommand) Run() error {
	cert, err := standin.NewCertificate(c.Name...)
	if err != nil {
		return fmt.Errorf("creating certificate: %w", err)
	}
	if err := cert.WriteFiles(c.Dir); err != nil {
		return fmt.Errorf("writing certificate: %w", err)
	}
	return nil
}
