package drain

// Duty is a duty that a stopping node hands over.
type Duty struct {
	Name string
	// Models has the model of each backend server that depends on the duty, one entry per server.
	Models []string
}

// SplitHandover splits the duties of a stopping node into those to hand over now, and those to keep until the first
// ones have a new holder. A server takes no new work while its duty moves, so the second part keeps about half of
// each model's servers: the first part never has all of them, and exceeds the second by less than the number that
// one duty has.
func SplitHandover(duties []Duty) ([]string, []string) {
	var now, later []string
	movedNow, movedLater := make(map[string]int), make(map[string]int)
	for _, d := range duties {
		postpone := false
		for _, m := range d.Models {
			postpone = postpone || movedNow[m] >= movedLater[m]
		}
		count := movedNow
		if postpone {
			count = movedLater
			later = append(later, d.Name)
		} else {
			now = append(now, d.Name)
		}
		for _, m := range d.Models {
			count[m]++
		}
	}
	return now, later
}
