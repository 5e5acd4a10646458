// Package slope measures how the cost of the production algorithms and encodings grows with the deployment's size.
package slope
