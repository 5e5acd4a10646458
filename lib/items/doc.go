// Package items splits JSON objects and arrays into the raw values of their fields and elements, so that each of them can be
// decoded by itself and a value that can't be decoded loses only itself.
package items
