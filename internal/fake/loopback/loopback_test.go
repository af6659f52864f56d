package loopback

import (
	"net"
	"testing"
)

func TestAddressIsFreeAndUnique(t *testing.T) {
	seen := map[string]bool{}
	for range 20 {
		addr, err := Address()
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Errorf("%s was returned twice", addr)
		}
		seen[addr] = true
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		listener.Close()
	}
}
