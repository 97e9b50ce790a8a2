package entry

import (
	"net"
	"net/http"
	"net/url"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/result"
)

const (
	// readHeaderTimeout bounds the time in which a caller must send the header of a request.
	readHeaderTimeout = 10 * time.Second
	// callerIdleTimeout bounds the time for which a connection without a request is kept.
	callerIdleTimeout = 75 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
)

// newHTTP returns the HTTP server for callers and operators.
func (s *Server) newHTTP(l net.Listener) *khttp.Server {
	srv := khttp.NewServer(
		khttp.Listener(s.callers.Listener(l)),
		khttp.Timeout(0), // streams outlast any fixed timeout; deadlines bound the requests
		khttp.ErrorEncoder(s.encodeError),
		khttp.NotFoundHandler(http.HandlerFunc(notFound)),
		khttp.MethodNotAllowedHandler(http.HandlerFunc(notFound)),
	)
	s.callers.Attach(srv.Server)
	srv.ReadHeaderTimeout = readHeaderTimeout
	srv.IdleTimeout = callerIdleTimeout
	srv.MaxHeaderBytes = maxHeaderBytes
	srv.Handler = s.callers.Handler(srv.Handler)
	s.callerRoutes(srv.Route("/"))
	s.operatorRoutes(srv.Route("/"))
	return srv
}

func (s *Server) callerRoutes(r *khttp.Router) {
	r.POST("/v1/chat/completions", s.trackInFlight(s.chatCompletions))
	r.GET("/v1/models", s.listModels)
	r.GET("/v1/address", s.getAddress)
	r.POST("/v1/services/{route}", s.trackInFlight(s.callService))
	r.POST("/v1/idempotency-keys", s.newIdempotencyKey)
	r.GET("/v1/requests/{id}", s.explainRequest)
	r.GET("/healthz", s.healthz)
	r.GET("/readyz", s.readyz)
	r.GET("/metrics", s.metrics)
}

func (s *Server) operatorRoutes(r *khttp.Router) {
	r.GET("/v1/settings", s.operator(s.listSettings))
	r.GET("/v1/settings/{branch:.+}", s.operator(s.getSettings))
	r.PUT("/v1/settings/{branch:.+}", s.operator(s.putSettings))
	r.DELETE("/v1/settings/{branch:.+}", s.operator(s.deleteSettings))
	r.GET("/v1/settings-effective", s.operator(s.effectiveSettings))
	r.GET("/v1/settings-history", s.operator(s.settingsHistory))
	r.GET("/v1/status", s.operator(s.getStatus))
	r.POST("/v1/drain", s.operator(s.startDrain))
	r.GET("/v1/rehearsals", s.operator(s.listRehearsals))
	r.POST("/v1/rehearsals", s.operator(s.startRehearsal))
	r.DELETE("/v1/rehearsals/{id}", s.operator(s.stopRehearsal))
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, result.New(result.UnknownRoute, result.NotRun, "no such resource: %s %s", r.Method, r.URL.Path), fleet.RequestID(""))
}

// hostOf returns the host of a URL that the configuration has validated.
func hostOf(text string) string {
	u, err := url.Parse(text)
	if err != nil {
		return ""
	}
	return u.Host
}
