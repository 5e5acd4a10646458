// Package netio holds network input and output that the processes share: receivers and senders that batch datagrams,
// retries with backoff, and the counting and logging of ignored input.
package netio
