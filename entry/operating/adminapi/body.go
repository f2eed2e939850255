package adminapi

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"peridotchute.example/common/settings"
)

// readBody returns the body. The error is *http.MaxBytesError if it is too large.
func readBody(r *http.Request) ([]byte, error) {
	raw, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	if err == nil || errors.As(err, &tooLarge) {
		return raw, err
	}
	return nil, badRequest("the body could not be read: %v", err)
}

// decodeBody reads a JSON body of type T. It rejects unknown and repeated fields.
func decodeBody[T any](r *http.Request) (T, error) {
	var v T
	raw, err := readBody(r)
	if err != nil {
		return v, err
	}
	err = parseBody(raw, &v)
	return v, err
}

func parseBody(raw []byte, v any) error {
	if err := settings.Decode("body", raw, v); err != nil {
		return badRequest("%v", err)
	}
	return nil
}

// intParam returns a query parameter between 1 and maxValue, or fallback if it is
// missing.
func intParam(r *http.Request, name string, fallback, maxValue int) (int, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxValue {
		return 0, badRequest("%s must be a number from 1 to %d", name, maxValue)
	}
	return n, nil
}
