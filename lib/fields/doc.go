// Package fields encodes and decodes protobuf fields without generated code.
package fields
