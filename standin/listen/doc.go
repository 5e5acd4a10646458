// Package listen serves the stand-ins' HTTP.
package listen
