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

// outputFolder is folderOrTemporary that also creates the named folder.
func outputFolder(path, pattern string) (string, error) {
	folder, err := folderOrTemporary(path, pattern)
	if err != nil {
		return "", err
	}
	return folder, os.MkdirAll(folder, 0o750)
}

// readOrDefault returns the text of a file and its path, or the given text and "the day in the program" without a path.
func readOrDefault(path, text string) (content, source string, err error) {
	if path == "" {
		return text, "the day in the program", nil
	}
	b, err := os.ReadFile(path)
	return string(b), path, err
}

// openInput returns the content of a file to be read, or the standard input for "-".
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
