package settings

import "fmt"

// checkDepth returns an error if text nests deeper than maxDepth, since parsers
// recurse. It ignores brackets in strings and comments.
func checkDepth(raw []byte) error {
	depth := 0
	for i := 0; i < len(raw); i++ {
		switch raw[i] {
		case '"':
			i = endOfString(raw, i)
		case '/':
			i = endOfComment(raw, i)
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth > maxDepth {
			return fmt.Errorf("nested deeper than %d", maxDepth)
		}
	}
	return nil
}

// endOfString returns the index of the quote that ends the string at i.
func endOfString(raw []byte, i int) int {
	for i++; i < len(raw) && raw[i] != '"'; i++ {
		if raw[i] == '\\' {
			i++
		}
	}
	return i
}

// endOfComment returns the index of the last byte of the comment at i, or i
// if no comment starts there.
func endOfComment(raw []byte, i int) int {
	if i+1 >= len(raw) {
		return i
	}
	switch raw[i+1] {
	case '/':
		for i < len(raw) && raw[i] != '\n' {
			i++
		}
	case '*':
		for i += 2; i < len(raw); i++ {
			if raw[i] == '/' && raw[i-1] == '*' {
				break
			}
		}
	}
	return i
}
