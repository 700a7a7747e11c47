package crstate

import (
	"time"

	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// applyCatalog sets the catalog if its version is higher than the current
// one. A lower or equal version is acknowledged and changes nothing, so an
// operator can safely retry after a lost response.
func (s *State) applyCatalog(
	c *crwire.Change, findings crdoc.Findings, line *crwire.Audit, lifetime time.Duration,
) (*crwire.Delta, crwire.Result) {
	current := s.CatalogSource().Version
	line.Subject, line.From, line.To = "catalog", current, current
	if c.Catalog == nil {
		findings.Add("catalog", "is missing")
	}
	if len(findings) > 0 {
		return nil, invalidResult(findings, current)
	}
	if c.Catalog.Version <= current {
		return nil, crwire.Result{Code: crwire.CodeOK, Version: current, Text: "a version as high is in force"}
	}
	line.To = c.Catalog.Version
	s.recordFormer(c.Catalog, lifetime)
	next := s.withFormer(c.Catalog)
	delta := s.nextRevision()
	delta.Catalog = s.Catalog.Diff(next)
	s.Catalog, s.Source = next, c.Source
	return delta, crwire.Result{Code: crwire.CodeOK, Version: c.Catalog.Version}
}

// CatalogSource returns the source text and version of the current catalog.
func (s *State) CatalogSource() crwire.StoredCatalog {
	if s.Catalog == nil {
		return crwire.StoredCatalog{}
	}
	return crwire.StoredCatalog{Version: s.Catalog.Version, Source: s.Source}
}
