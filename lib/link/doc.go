// Package link reads and writes UDP datagrams in batches.
package link
