package inifile

// maxNearestLength bounds the length of names that are compared.
const maxNearestLength = 64

// Nearest returns the candidate with the smallest edit distance to name, or "" when none is close: more than a
// third of the name's letters, and at least two, would have to change. Ties go by alphabet.
func Nearest(name string, candidates []string) string {
	if len(name) > maxNearestLength {
		return ""
	}
	limit := max(2, len(name)/3)
	best, bestDistance := "", limit+1
	for _, c := range candidates {
		gap := len(c) - len(name)
		if len(c) > maxNearestLength || gap > limit || -gap > limit {
			continue
		}
		d := distance(name, c)
		if d < bestDistance || d == bestDistance && best != "" && c < best {
			best, bestDistance = c, d
		}
	}
	return best
}

// distance is the Levenshtein distance in bytes, with a swap of neighbours counted as one change.
func distance(a, b string) int {
	var before, previous, current [maxNearestLength + 1]int
	for j := range len(b) + 1 {
		previous[j] = j
	}
	for i := 1; i <= len(a); i++ {
		current[0] = i
		for j := 1; j <= len(b); j++ {
			change := 1
			if a[i-1] == b[j-1] {
				change = 0
			}
			d := min(previous[j]+1, current[j-1]+1, previous[j-1]+change)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				d = min(d, before[j-2]+1)
			}
			current[j] = d
		}
		before, previous = previous, current
	}
	return previous[len(b)]
}
