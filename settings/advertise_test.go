package settings

import (
	"strings"
	"testing"
)

// Guards against advertised addresses that no other VM can connect to.
func TestAdvertisedAddresses(t *testing.T) {
	const line = `operator = "10.20.1.11:8083"`
	for value, ok := range map[string]bool{
		"": true, "10.20.9.9:9000": true, "0.0.0.0:9000": false, "10.20.9.9": false, "vm-a1:9000": false, "10.20.9.9:0": false,
	} {
		for _, key := range []string{"advertise_forward", "advertise_control"} {
			text := strings.Replace(example(t), line, line+"\n"+key+` = "`+value+`"`, 1)
			if _, faults := parse("vm.toml", []byte(text), secretFiles); (len(faults) == 0) != ok {
				t.Errorf("%s = %q: faults %v", key, value, faults)
			}
		}
	}
}
