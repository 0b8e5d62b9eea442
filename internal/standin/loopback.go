package standin

import (
	"fmt"
	"os"
)

// loopbackHosts is the number of different loopback addresses that LoopbackHost returns in one process.
const loopbackHosts = 250

// LoopbackHost returns an address of the loopback network for a listener that has to rebind its port after a restart. On 127.0.0.1 that may
// fail: while no process listens on the port, the system may assign it to an outgoing connection of any process. Outgoing connections leave
// from 127.0.0.1, even those to the addresses returned here, and other processes that call LoopbackHost get other addresses. Addresses repeat
// after loopbackHosts numbers.
func LoopbackHost(number int) string {
	process := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+process/loopbackHosts%loopbackHosts, 1+process%loopbackHosts, 1+number%loopbackHosts)
}
