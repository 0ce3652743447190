package drain

// Duty is one of the duties that a stopping node hands over.
type Duty struct {
	Name string
	// Models are the models of the backend servers that depend on the duty, one entry a server.
	Models []string
}

// Halves splits the duties of a stopping node into those to hand over at once and those to keep until the
// others have a new holder. A server takes no new work while its duty moves, so each model keeps at least
// half of its servers in the second part.
func Halves(duties []Duty) ([]string, []string) {
	var first, second []string
	moved, kept := make(map[string]int), make(map[string]int)
	for _, d := range duties {
		keep := false
		for _, m := range d.Models {
			keep = keep || moved[m] >= kept[m]
		}
		count := moved
		if keep {
			count = kept
			second = append(second, d.Name)
		} else {
			first = append(first, d.Name)
		}
		for _, m := range d.Models {
			count[m]++
		}
	}
	return first, second
}
