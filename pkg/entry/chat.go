package entry

import (
	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

func (s *Server) chatCompletions(ctx khttp.Context) error { return nil }
