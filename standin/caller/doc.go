// Package caller stands in for the people who open feeds, book visits and fetch documents.
package caller
