// Package proto encodes and decodes protobuf fields without generated code.
package proto
