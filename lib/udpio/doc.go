// Package udpio reads and writes UDP datagrams in batches.
package udpio
