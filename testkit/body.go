package testkit

import (
	"io"
	"net/http"
)

// Body reads and closes the body of a response. Its parameters match the results of a Do method.
func Body(resp *http.Response, err error) (string, error) {
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}
