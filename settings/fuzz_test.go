package settings

import (
	"testing"

	"coltsfootlink"
)

// FuzzParse parses settings of daemons and fleet documents; a fleet document that is accepted can be written and read again.
func FuzzParse(f *testing.F) {
	f.Add("instance = \"a\"\n[timing]\nstop-limit = \"-1ns\"\n")
	f.Add("[[team]]\nname = \"t\"\nweight = 1e300\n[[pool]]\nname = \"p\"\n[[pool.route]]\npath = \"r\"\n")
	f.Add("[retry]\nshare = nan\nslack = inf\n")
	f.Add("a.b.c = [[[{}]]]\n")
	f.Fuzz(func(t *testing.T, text string) {
		// Only that these return is checked.
		_, _ = ParseDaemon("f", text)
		_, _ = ParseGateway("f", text)
		configuration, err := ParseFleet("f", text, coltsfootlink.Configuration{})
		if err != nil {
			return
		}
		formatted, err := FormatFleet(configuration)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParseFleet("f", formatted, coltsfootlink.Configuration{}); err != nil {
			t.Fatalf("%q became %q: %v", text, formatted, err)
		}
	})
}
