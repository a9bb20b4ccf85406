package opsclient

import "net/netip"

func isLoopback(host string) bool {
	address, err := netip.ParseAddr(host)
	return err == nil && address.IsLoopback()
}
