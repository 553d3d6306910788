package ctl

import (
	"bytes"
	"encoding/json"
	"io"
	"os"

	"github.com/juju/errors"
)

// readJSONFile decodes a JSON file. Unknown fields are an error.
func readJSONFile[T any](e *env, file string) (T, error) {
	var v T
	data, err := e.readFile(file)
	if err != nil {
		return v, err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&v); err != nil {
		return v, usagef("%s: not valid: %v", file, err)
	}
	return v, nil
}

// readFile reads a file, or the standard input if file is "-".
func (e *env) readFile(file string) ([]byte, error) {
	if file == "-" {
		data, err := io.ReadAll(e.stdin)
		return data, errors.Annotate(err, "reading the standard input")
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, usagef("%v", err)
	}
	return data, nil
}

// inlineOrFile returns the value of --data or the content of the file named by
// --file. Giving both is a usage error.
func (e *env) inlineOrFile(data, file string) ([]byte, error) {
	if data != "" && file != "" {
		return nil, usagef("--data and --file exclude each other")
	}
	if file != "" {
		return e.readFile(file)
	}
	return []byte(data), nil
}
