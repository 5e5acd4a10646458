// Package slope measures what the real decision code and encodings cost at growing sizes.
package slope
