// Package model measures policies with the real decision code in virtual time.
package model
