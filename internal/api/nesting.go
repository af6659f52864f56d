package api

// maxEventNesting is the nesting limit of an event that is collected, in levels. Decoding, merging and encoding an
// event recurse once for each level.
const maxEventNesting = 128

// nestingExceeds reports whether the JSON text b is nested deeper than limit levels.
func nestingExceeds(b []byte, limit int) bool {
	depth, inString := 0, false
	for i := 0; i < len(b); i++ {
		c := b[i]
		if inString {
			switch c {
			case '\\':
				i++
			case '"':
				inString = false
			}
			continue
		}
		switch c {
		case '"':
			inString = true
		case '{', '[':
			if depth++; depth > limit {
				return true
			}
		case '}', ']':
			depth--
		}
	}
	return false
}
