package cluster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
)

// get performs a GET request. Any status but 200 is an error.
func get(url string) (*http.Response, error) {
	resp, err := http.Get(url)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("GET %s: %s", url, resp.Status)
	}
	return resp, nil
}

// GetJSON fetches and decodes a JSON document. Any status but 200 is an error.
func GetJSON(url string, into any) error {
	resp, err := get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(into)
}

// putJSON sends a JSON document to the control interface of a stand-in.
func putJSON(url string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("PUT %s: %s", url, resp.Status)
	}
	return nil
}
