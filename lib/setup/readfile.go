package setup

import (
	"io"
	"os"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

// ReadFile returns at most the first limit bytes of a file, or an Invalid fault when it can't be read.
func ReadFile(path string, limit int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, unreadable(path, err)
	}
	defer file.Close()
	content, err := io.ReadAll(io.LimitReader(file, limit))
	if err != nil {
		return nil, unreadable(path, err)
	}
	return content, nil
}

func unreadable(path string, cause error) error {
	return fault.Wrap(cause, fault.Invalid, path+" can't be read", "give the path of a readable file")
}
