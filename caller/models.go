package caller

import (
	"github.com/bergamotgrade/bergamotgrade"
)

// modelEntry is one model in the format of the OpenAI API.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

func newModelEntry(id string) modelEntry {
	return modelEntry{ID: id, Object: "model", OwnedBy: "bergamotgrade"}
}

func (s *Server) listModels(x *exchange) error {
	if _, err := s.authorize(x); err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, id := range s.deps.Source.State().ModelIDs() {
		list.Data = append(list.Data, newModelEntry(id))
	}
	return writeJSON(x.w, list)
}

func (s *Server) showModel(x *exchange) error {
	if _, err := s.authorize(x); err != nil {
		return err
	}
	id := x.params("id")
	if _, ok := s.deps.Source.State().Model(id); !ok {
		return unknownModelError(id)
	}
	return writeJSON(x.w, newModelEntry(id))
}

func unknownModelError(id string) error {
	return bergamotgrade.NewError(bergamotgrade.KindModelUnknown, "model \""+id+"\" does not exist", "list the models with GET /v1/models").WithNotRun()
}
