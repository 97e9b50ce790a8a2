package entry

import "context"

// ReadSettings runs the reader of the settings stream of a server that has not been started,
// without putting the settings in force, until the returned function is called.
func ReadSettings(s *Server) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.settings.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
		s.cancel()
		_ = s.peers.Close()
	}
}

// HasReadSettings reports whether the server has read the settings stream to its end and
// found settings in it.
func HasReadSettings(s *Server) bool {
	view := s.settings.View()
	return view.Ready && view.Tree.Offset() > 0
}

// IsReady reports what GET /readyz answers unless the server is draining.
func IsReady(s *Server) bool { return s.ready() }
