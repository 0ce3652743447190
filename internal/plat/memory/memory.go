// Package memory divides the memory and the file descriptors of a host among the parts of a process.
package memory

import (
	"runtime/debug"

	"geraniumhollow/internal/route/shed"
	"golang.org/x/sys/unix"
)

// Shares of the memory of the host. The rest is for the program itself, which takes 20 to 40 MB, and for the kernel's part of
// connections.
const (
	// runtimeShare is the share from which the runtime collects garbage more often.
	runtimeShare = 0.7
	// bodyShare is the share for bodies of requests, answerShare the one for what is held of answers, messageShare the one for
	// messages of other nodes, connectionShare the one for connections of callers. Together they are less than what the runtime may
	// use, as copies and refused bodies are there until they are collected.
	bodyShare       = 0.2
	answerShare     = 0.03
	messageShare    = 0.02
	connectionShare = 0.25
	// connectionBytes is what a connection of a caller may take: a buffer of the size of a header, stacks, a response in progress.
	connectionBytes = 40 << 10
)

// callerDescriptorShare is the share of file descriptors that caller connections may use. The rest is for
// connections to backend servers and other nodes, and for files.
const callerDescriptorShare = 0.4

// defaultBytes is the memory that is assumed if it is not known: that of the smallest usual host.
const defaultBytes = 184 << 20

// Host is what a process may use of its host.
type Host struct {
	// Bytes is the memory, and Descriptors the number of file descriptors, or 0 if it is not known.
	Bytes       int
	Descriptors int
}

// Total returns the memory of this host in bytes, or 0 if it cannot be read.
func Total() int {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return 0
	}
	return int(info.Totalram) * int(info.Unit)
}

// LimitRuntime has the runtime keep its memory below that of the host, if it is known.
func (h Host) LimitRuntime() {
	if h.Bytes > 0 {
		debug.SetMemoryLimit(int64(runtimeShare * float64(h.Bytes)))
	}
}

func (h Host) bytes() float64 {
	if h.Bytes > 0 {
		return float64(h.Bytes)
	}
	return defaultBytes
}

// Bodies returns a budget for bodies of requests.
func (h Host) Bodies() *shed.Budget { return shed.New(int(bodyShare * h.bytes())) }

// Answers returns a budget for what is held of answers.
func (h Host) Answers() *shed.Budget { return shed.New(int(answerShare * h.bytes())) }

// Messages returns a budget for messages of other nodes that are being read.
func (h Host) Messages() *shed.Budget { return shed.New(int(messageShare * h.bytes())) }

// MaxCallers returns the limit of connections of callers, by memory and by descriptors.
func (h Host) MaxCallers() int {
	byMemory := int(connectionShare * h.bytes() / connectionBytes)
	if h.Descriptors <= 0 {
		return byMemory
	}
	return min(byMemory, int(callerDescriptorShare*float64(h.Descriptors)))
}
