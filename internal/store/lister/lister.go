// Package lister lists the records below a prefix page by page and keeps the pages that it has read
// when a later one can't be read, so that a long list on a slow link makes progress.
package lister

import (
	"context"

	"bamboospread/internal/store/keeper"
)

// Config holds the settings of a Lister.
type Config struct {
	FindRecords func(ctx context.Context, o keeper.ListOptions) (keeper.ListResult, error)
	Prefix      string
}

// Lister reads one list. It is used by one goroutine at a time.
type Lister struct {
	config   Config
	records  []keeper.Record
	revision int64
	pages    int
	complete bool
}

// New returns a Lister that has read nothing yet.
func New(c Config) *Lister { return &Lister{config: c} }

// Read reads the pages that are missing. After an error, it continues with the page that could not be
// read.
func (l *Lister) Read(ctx context.Context) error {
	for !l.complete {
		if err := l.ReadPage(ctx); err != nil {
			return err
		}
	}
	return nil
}

// ReadPage reads the next page.
func (l *Lister) ReadPage(ctx context.Context) error {
	after := ""
	if n := len(l.records); n > 0 {
		after = l.records[n-1].Key
	}
	page, err := l.config.FindRecords(ctx, keeper.ListOptions{Prefix: l.config.Prefix, After: after})
	if err != nil {
		return err
	}
	if l.pages == 0 {
		l.revision = page.Revision
	}
	l.pages++
	l.records = append(l.records, page.Records...)
	l.complete = !page.More || len(page.Records) == 0
	return nil
}

// Complete reports whether all pages were read.
func (l *Lister) Complete() bool { return l.complete }

// Pages returns the number of pages read.
func (l *Lister) Pages() int { return l.pages }

// Records returns the records read so far, sorted by key.
func (l *Lister) Records() []keeper.Record { return l.records }

// Revision returns the revision of the first page. A watch from there returns all changes since,
// including those during the listing.
func (l *Lister) Revision() int64 { return l.revision }
