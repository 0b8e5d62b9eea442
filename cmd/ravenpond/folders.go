package main

import (
	"bytes"
	"io"
	"os"
)

// folderOrTemporary returns the folder that a flag names, or a new one in the temporary folder if the flag was not given.
func folderOrTemporary(path, pattern string) (string, error) {
	if path != "" {
		return path, nil
	}
	return os.MkdirTemp("", pattern)
}

// outputFolder does the same as folderOrTemporary, and creates the named folder if it does not exist.
func outputFolder(path, pattern string) (string, error) {
	folder, err := folderOrTemporary(path, pattern)
	if err != nil {
		return "", err
	}
	return folder, os.MkdirAll(folder, 0o750)
}

// readOrDefault returns the text and the path of a file. Without a path it returns the given text and "built-in day".
func readOrDefault(path, text string) (content, source string, err error) {
	if path == "" {
		return text, "built-in day", nil
	}
	b, err := os.ReadFile(path)
	return string(b), path, err
}

// openInput returns a reader of the content of a file, or standard input for the path "-".
func openInput(path string) (io.Reader, error) {
	if path == "-" {
		return os.Stdin, nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return bytes.NewReader(b), nil
}
