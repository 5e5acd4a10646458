// Package fields appends and consumes protobuf fields without generated code.
package fields
