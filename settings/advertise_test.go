package settings

import (
	"strings"
	"testing"
)

// Guards against advertised addresses that no other VM can connect to, such as an
// unspecified IP address, a missing port or a host name. Load must report them, and
// must accept an empty value.
func TestAdvertisedAddresses(t *testing.T) {
	const line = `operator = "10.20.1.11:8083"`
	for value, ok := range map[string]bool{
		"": true, "10.20.9.9:9000": true, "0.0.0.0:9000": false, "10.20.9.9": false, "vm-a1:9000": false, "10.20.9.9:0": false,
	} {
		for _, key := range []string{"advertise_forward", "advertise_control"} {
			text := strings.Replace(readExample(t), line, line+"\n"+key+` = "`+value+`"`, 1)
			if _, faults := parse("vm.toml", []byte(text), readExampleSecret); (len(faults) == 0) != ok {
				t.Errorf("%s = %q: unexpected result; faults: %v", key, value, faults)
			}
		}
	}
}
