package crstate

import (
	"cardamomring.dev/internal/crwire"
	"cardamomring.dev/pkg/crdoc"
)

// applyCatalog sets the catalog if its version is higher than the one in
// force. A lower or equal one is answered alike and changes nothing, so that
// an operator may send it again after a lost answer.
func (s *State) applyCatalog(c *crwire.Change, found crdoc.Findings, line *crwire.Audit) (*crwire.Delta, crwire.Result) {
	current := s.CatalogSource().Version
	line.Subject, line.From, line.To = "catalog", current, current
	if c.Catalog == nil {
		found.Add("catalog", "is missing")
	}
	if len(found) > 0 {
		return nil, invalid(found, current)
	}
	if c.Catalog.Version <= current {
		return nil, crwire.Result{Code: crwire.CodeOK, Version: current, Text: "a version as high is in force"}
	}
	line.To = c.Catalog.Version
	delta := s.advance()
	delta.Catalog = s.Catalog.Diff(c.Catalog)
	s.Catalog, s.Source = c.Catalog, c.Source
	return delta, crwire.Result{Code: crwire.CodeOK, Version: c.Catalog.Version}
}

// CatalogSource returns the catalog in force as its operator wrote it.
func (s *State) CatalogSource() crwire.StoredCatalog {
	if s.Catalog == nil {
		return crwire.StoredCatalog{}
	}
	return crwire.StoredCatalog{Version: s.Catalog.Version, Source: s.Source}
}
