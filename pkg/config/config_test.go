package config_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/config"
)

const valid = `{"vm":"vm-1","region":"r","data_centre":"d","address":"127.0.0.1:8001","peer_address":"127.0.0.1:9001",
"seeds":["127.0.0.1:9002"],"fleet_secret":"0123456789abcdef","log_url":"http://127.0.0.1:7001",
"weight_store_url":"http://127.0.0.1:7002","vm_list_url":"http://127.0.0.1:7003",
"operator_key_hash":"9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"}`

// TestParseNamesInvalidEntry guards against an invalid or unknown entry that is accepted or
// reported without its name.
func TestParseNamesInvalidEntry(t *testing.T) {
	is := is.New(t)
	_, err := config.Parse([]byte(valid))
	is.NoErr(err)
	cases := []struct{ old, new, want string }{
		{`"seeds"`, `"seedz"`, "seedz"},
		{`127.0.0.1:9001`, `localhost`, "peer_address"},
		{`127.0.0.1:9002`, `x`, "seeds[0]"},
		{`0123456789abcdef`, `short`, "fleet_secret"},
		{`"vm-1"`, `""`, "vm"},
		{`http://127.0.0.1:7001`, `nowhere`, "log_url"},
		{`9f86d081`, `zz`, "operator_key_hash"},
	}
	for _, c := range cases {
		_, err := config.Parse([]byte(strings.Replace(valid, c.old, c.new, 1)))
		is.True(err != nil)                            // the configuration is rejected
		is.True(strings.Contains(err.Error(), c.want)) // the error names the entry
	}
}
