package measure

import (
	"fmt"
	"io"
)

// Figure is one row of a report. Value extracts its number from the result of a
// repeat.
type Figure[R any] struct {
	Name     string
	Decimals int
	Value    func(R) float64
}

// Table writes a Markdown table with the median, minimum and maximum of each figure.
func Table[R any](out io.Writer, title string, figures []Figure[R], repeats []R) error {
	if _, err := fmt.Fprintf(out, "| %s | median of %d (least to most) |\n|---|---|\n", title, len(repeats)); err != nil {
		return err
	}
	for _, f := range figures {
		values := make([]float64, len(repeats))
		for i, r := range repeats {
			values[i] = f.Value(r)
		}
		if _, err := fmt.Fprintf(out, "| %s | %s |\n", f.Name, NewSpread(values).Format(f.Decimals)); err != nil {
			return err
		}
	}
	return nil
}
