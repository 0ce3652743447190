package edge

import (
	"runtime/debug"

	"geraniumhollow/internal/route/shed"
)

// Shares of the memory of the host. The rest is for the program itself, which takes about 20 MB, and for the kernel's part of
// connections.
const (
	// runtimeShare is the share from which the runtime collects garbage more often.
	runtimeShare = 0.7
	// bodyShare is the share for bodies of requests, connectionShare the one for connections of callers. Both together are less
	// than what the runtime may use, as copies and refused bodies are there until they are collected.
	bodyShare       = 0.2
	connectionShare = 0.25
	// connectionBytes is what a connection of a caller may take: a buffer of the size of a header, stacks, a response in progress.
	connectionBytes = 40 << 10
)

// defaultMemory is the memory that is assumed if the settings name none: that of the smallest usual host.
const defaultMemory = 184 << 20

// LimitRuntime has the runtime keep its memory below that of the host, if the settings name it.
func (s Settings) LimitRuntime() {
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(runtimeShare * float64(s.Memory)))
	}
}

func (s Settings) memory() float64 {
	if s.Memory > 0 {
		return float64(s.Memory)
	}
	return defaultMemory
}

// newBodies returns the budget for bodies of requests.
func (s Settings) newBodies() *shed.Budget { return shed.New(int(bodyShare * s.memory())) }

// maxCallers returns the limit of connections of callers, by descriptors and by memory.
func (s Settings) maxCallers() int {
	byMemory := int(connectionShare * s.memory() / connectionBytes)
	if s.Descriptors <= 0 {
		return byMemory
	}
	return min(byMemory, int(callerDescriptorShare*float64(s.Descriptors)))
}
