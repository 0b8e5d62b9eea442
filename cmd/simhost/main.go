// Simhost runs many schedulers in one process and speaks the bench's wire protocol: it reads batches of events from standard input and writes
// replies to standard output. Each instance is one placement module (package logic); instances share nothing. A malformed batch ends the
// process with an error on standard error and status 1. A panic in a decision is reported to the bench as a fault of its instance.
package main

import (
	"bufio"
	"fmt"
	"os"
)

const outputBuffer = 1 << 16 // bytes

func main() {
	out := bufio.NewWriterSize(os.Stdout, outputBuffer)
	if err := serve(os.Stdin, out); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
