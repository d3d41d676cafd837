package main

type standinCommand struct {
	Platform    standinPlatformCommand    `cmd:"" help:"Run a small object store."`
	Fabric      standinFabricCommand      `cmd:"" help:"Run a fabric that sends each datagram to any ready entry."`
	Upstream    standinUpstreamCommand    `cmd:"" help:"Run a small upstream."`
	Certificate standinCertificateCommand `cmd:"" help:"Write a self-signed certificate for services."`
	Call        standinCallCommand        `cmd:"" help:"Send requests to a service as a caller."`
}
