package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"
)

// maxAnswerBytes bounds the answer of an admin endpoint: the status of a region
// of the target size is a few megabytes.
const maxAnswerBytes = 64 << 20

// adminFlags are the flags of commands that query a running process.
type adminFlags struct {
	Admin   string        `required:"" env:"ENDIVEFLOW_ADMIN" placeholder:"URL" help:"Base URL of the admin endpoint of an entry or agent."`
	Timeout time.Duration `default:"5s" help:"Longest wait for the answer."`
}

// get returns the answer to a GET request, bounded by the timeout of the flags.
func (f adminFlags) get(ctx context.Context, path string, query url.Values) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	return getAdmin(ctx, f.Admin, path, query)
}

// parseAdmin parses the base URL of an admin endpoint.
func parseAdmin(text string) (*url.URL, error) {
	base, err := url.Parse(text)
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		return nil, errors.NewNotValid(err, fmt.Sprintf("admin endpoint %q is not valid, expected a URL such as http://127.0.0.11:7004", text))
	}
	return base, nil
}

// getAdmin returns the answer of an admin endpoint. An answer 400 is an error of
// kind errors.NotValid, 404 one of kind errors.NotFound.
func getAdmin(ctx context.Context, admin, path string, query url.Values) ([]byte, error) {
	base, err := parseAdmin(admin)
	if err != nil {
		return nil, err
	}
	target := base.JoinPath(path)
	target.RawQuery = query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("building the request: %w", err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("sending the request: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("reading the answer of %s: %w", target, err)
	}
	return body, answerError(target, res, body)
}

func answerError(target *url.URL, res *http.Response, body []byte) error {
	text := fmt.Sprintf("%s answered %s: %s", target.Redacted(), res.Status, errorText(body))
	switch res.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusBadRequest:
		return errors.NewNotValid(nil, text)
	case http.StatusNotFound:
		return errors.NewNotFound(nil, text)
	default:
		return errors.New(text)
	}
}

// errorText returns the error in the JSON answer of an admin endpoint, or the answer itself.
func errorText(body []byte) string {
	var answer struct {
		Error string `json:"error"`
	}
	if err := json.Unmarshal(body, &answer); err == nil && answer.Error != "" {
		return answer.Error
	}
	return string(bytes.TrimSpace(body))
}
