package standin

import (
	"fmt"
	"os"
)

// loopbackHosts is how many addresses of the loopback network LoopbackHost gives to a process.
const loopbackHosts = 250

// LoopbackHost returns an address of the loopback network for a listener that has to find its port free when it comes back. A port of
// 127.0.0.1 is not: the system gives it to outgoing connections of every process while nobody listens on it. Those leave from 127.0.0.1, also
// to the addresses returned here, and other processes of this kind get other addresses. Hosts repeat after loopbackHosts.
func LoopbackHost(number int) string {
	process := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+process/loopbackHosts%loopbackHosts, 1+process%loopbackHosts, 1+number%loopbackHosts)
}
