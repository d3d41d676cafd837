package admin

import (
	"io"
	"net/http"

	"github.com/juju/errors"
)

// ready handles readiness checks. It answers 503 with the reasons while the process is not ready.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	reasons := s.cfg.Ready()
	status := http.StatusOK
	if len(reasons) > 0 {
		status = http.StatusServiceUnavailable
	}
	s.writeJSON(w, status, struct {
		Ready   bool     `json:"ready"`
		Reasons []string `json:"reasons,omitempty"`
	}{len(reasons) == 0, reasons})
}

func (s *Server) audit(w http.ResponseWriter, _ *http.Request) {
	s.writeJSON(w, http.StatusOK, s.cfg.Audit.Recent())
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	value, err := s.cfg.Status(r.Context())
	s.writeResult(w, value, err)
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	query := make(map[string]string)
	for name, values := range r.URL.Query() {
		query[name] = values[0]
	}
	value, err := s.cfg.Explain(r.Context(), query)
	s.writeResult(w, value, err)
}

func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnounceBytes))
	if err != nil {
		http.Error(w, "reading announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.cfg.Announce(body); err != nil {
		s.writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) writeResult(w http.ResponseWriter, value any, err error) {
	if err != nil {
		s.writeError(w, err)
		return
	}
	s.writeJSON(w, http.StatusOK, value)
}

func (s *Server) writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, errors.NotValid):
		status = http.StatusBadRequest
	case errors.Is(err, errors.NotFound):
		status = http.StatusNotFound
	}
	s.writeJSON(w, status, struct {
		Error string `json:"error"`
	}{err.Error()})
}
