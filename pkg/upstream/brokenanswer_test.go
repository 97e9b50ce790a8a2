package upstream_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/internal/answer/answertest"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/infra"
	"github.com/cornelline/cornelline/pkg/standin"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// longUpload does not fit into the buffers of a connection whose other end does not read.
var longUpload = bytes.Repeat([]byte("x"), 8<<20)

// clientOf returns a client that dials with the function, or as usual if it is nil.
func clientOf(dial answertest.DialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 4}}
}

// callService calls a service that answers with the ID r1.
func callService(t *testing.T, client *http.Client, address, key string, body []byte) (upstream.ServiceResponse, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	service := upstream.NewHTTPService("s1", address, "/bookings", client)
	return service.Call(ctx, upstream.ServiceRequest{RequestID: "r1", Route: "bookings", Key: key, Body: body})
}

const requestIDField = upstream.HeaderRequestID + ": r1"

// TestResetDuringUploadBreaksServiceAnswer guards against giving a caller a part of an answer for the
// whole one: its end is that of the connection, and the connection was reset while the request was
// written.
func TestResetDuringUploadBreaksServiceAnswer(t *testing.T) {
	for name, dial := range answertest.ResetReports() {
		for _, key := range []string{"", "k1"} {
			t.Run(fmt.Sprintf("%s, key %q", name, key), func(t *testing.T) {
				for _, after := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
					address := answertest.Start(t, standin.BrokenAnswer{
						Status: "200 OK", Fields: []string{requestIDField}, Body: "part", Early: true, End: standin.EndReset, EndAfter: standin.Duration(after),
					})
					for range 10 {
						answer, err := callService(t, clientOf(dial), address, key, longUpload)
						var failure *upstream.Error
						if !errors.As(err, &failure) || !failure.Sent || errors.Is(err, context.DeadlineExceeded) {
							t.Fatalf("reset after %s: %q, %v; want a failure at once of a call that may have run", after, answer.Body, err)
						}
					}
				}
			})
		}
	}
}

// TestEarlyServiceAnswerWithMarkedEndIsWhole guards against losing an answer that came as a whole before
// the connection was reset, and the promise of a refusal.
func TestEarlyServiceAnswerWithMarkedEndIsWhole(t *testing.T) {
	for name, dial := range answertest.ResetReports() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, whole := range []standin.BrokenAnswer{
				{Status: "200 OK", Fields: []string{requestIDField, "Content-Length: 5"}, Body: "whole"},
				{Status: "413 Content Too Large", Fields: []string{requestIDField, "Transfer-Encoding: chunked"}, Body: "5\r\nwhole\r\n0\r\n\r\n"},
			} {
				whole.Early, whole.End = true, standin.EndReset
				address := answertest.Start(t, whole)
				for range 5 {
					answer, err := callService(t, clientOf(dial), address, "", longUpload)
					is.NoErr(err)
					is.Equal(string(answer.Body), "whole")
				}
			}
			refusal := answertest.Start(t, standin.BrokenAnswer{Status: "429 Too Many Requests", Body: "part", Early: true, End: standin.EndReset})
			for range 5 {
				_, err := callService(t, clientOf(dial), refusal, "", longUpload)
				var failure *upstream.Error
				is.True(errors.As(err, &failure))
				is.True(errors.Is(err, upstream.ErrRefused))
				is.True(!failure.Sent)
			}
		})
	}
}

// TestServiceAnswerWithoutLengthAfterUploadIsWhole guards against refusing an answer that ends with its
// connection after the request was taken, also if the answer ended first.
func TestServiceAnswerWithoutLengthAfterUploadIsWhole(t *testing.T) {
	for _, size := range []int{0, 17 << 10, len(longUpload)} {
		t.Run(fmt.Sprintf("%d bytes", size), func(t *testing.T) {
			is := is.New(t)
			for _, whole := range []standin.BrokenAnswer{{End: standin.EndClose}, {Early: true, End: standin.EndReadOn}} {
				whole.Status, whole.Fields, whole.Body = "200 OK", []string{requestIDField}, "whole"
				address := answertest.Start(t, whole)
				for range 5 {
					answer, err := callService(t, clientOf(nil), address, "", longUpload[:size])
					is.NoErr(err)
					is.Equal(string(answer.Body), "whole")
				}
			}
		})
	}
}

// TestUnfinishedUploadAfterTheEnd guards against waiting for the rest of an upload beyond the deadline
// after the answer has ended with its half of the connection.
func TestUnfinishedUploadAfterTheEnd(t *testing.T) {
	is := is.New(t)
	address := answertest.Start(t, standin.BrokenAnswer{
		Status: "200 OK", Fields: []string{requestIDField}, Body: "whole?", Early: true, End: standin.EndHold, EndAfter: standin.Duration(10 * time.Second),
	})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err := upstream.NewHTTPService("s1", address, "/", nil).Call(ctx, upstream.ServiceRequest{RequestID: "r1", Key: "k1", Body: longUpload})
	var failure *upstream.Error
	is.True(errors.As(err, &failure))
	is.True(failure.Sent)
	is.True(ctx.Err() != nil)
}

// TestConnectionOfCutOffRequestIsNotReused guards against sending a request over a connection that was
// reset during the one before.
func TestConnectionOfCutOffRequestIsNotReused(t *testing.T) {
	is := is.New(t)
	var opened int
	dialReset := answertest.ResetReports()["to the write"]
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		opened++
		return dialReset(ctx, network, address)
	}
	address := answertest.Start(t, standin.BrokenAnswer{
		Status: "200 OK", Fields: []string{requestIDField, "Content-Length: 5"}, Body: "whole", Early: true, End: standin.EndReset,
	})
	service := upstream.NewHTTPService("s1", address, "/bookings", clientOf(dial))
	for range 5 {
		_, err := service.Call(t.Context(), upstream.ServiceRequest{RequestID: "r1", Route: "bookings", Body: longUpload})
		is.NoErr(err)
	}
	is.Equal(opened, 5)
}

// TestResetDuringUploadBreaksGeneration guards against taking a stream for complete whose connection was
// reset between two events.
func TestResetDuringUploadBreaksGeneration(t *testing.T) {
	for name, dial := range answertest.ResetReports() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := answertest.Start(t, standin.BrokenAnswer{Status: "200 OK", Body: `{"event":{"index":0}}` + "\n", Early: true, End: standin.EndReset})
			engine := upstream.NewHTTPEngine("e1", address, clientOf(dial))
			stream, err := engine.Generate(t.Context(), upstream.GenerateRequest{Session: "s1", Tokens: make([]fleet.Token, 4<<20)})
			is.NoErr(err)
			defer stream.Close()
			_, err = stream.Next(t.Context())
			is.NoErr(err)
			_, err = stream.Next(t.Context())
			var failure *upstream.Error
			is.True(errors.As(err, &failure))
			is.True(failure.Sent)
		})
	}
}

// TestFieldNamesOfServiceAnswers guards against giving a caller the answer of a server in trouble whose
// head holds a malformed field name.
func TestFieldNamesOfServiceAnswers(t *testing.T) {
	const chunks = "Transfer-Encoding: chunked"
	for name, broken := range map[string]standin.BrokenAnswer{
		"blank":                      {Fields: []string{"X Y: 1", "Content-Length: 5"}, Body: "whole"},
		"blank before the colon":     {Fields: []string{"X-Y : 1", "Content-Length: 5"}, Body: "whole"},
		"blank in a length":          {Fields: []string{"Content-Length : 2"}, Body: "whole"},
		"blank in a framing":         {Fields: []string{"Transfer-Encoding : chunked"}, Body: "5\r\nwhole\r\n0\r\n\r\n"},
		"control byte":               {Fields: []string{"X\x01Y: 1", "Content-Length: 5"}, Body: "whole"},
		"blank in a trailer":         {Fields: []string{chunks}, Body: "5\r\nwhole\r\n0\r\nX Y: 1\r\n\r\n"},
		"blank in an interim answer": {Status: "103 Early Hints", Fields: []string{"X Y: 1"}, Body: "HTTP/1.1 200 OK\r\n" + requestIDField + "\r\nContent-Length: 5\r\n\r\nwhole"},
	} {
		t.Run(name, func(t *testing.T) {
			if broken.Status == "" {
				broken.Status = "200 OK"
				broken.Fields = append(broken.Fields, requestIDField)
			}
			broken.End = standin.EndClose
			answer, err := callService(t, clientOf(nil), answertest.Start(t, broken), "", []byte("{}"))
			var failure *upstream.Error
			if !errors.As(err, &failure) || !failure.Sent {
				t.Fatalf("%q, %v; want a failure of a call that may have run", answer.Body, err)
			}
		})
	}
}

// TestAnswersThatBreakOffBehindTheirValue guards against taking an answer for whole because the JSON value
// at its beginning is: its length or its chunks say that more was to come.
func TestAnswersThatBreakOffBehindTheirValue(t *testing.T) {
	const value = `{"upstream":"e1","session":"s1","next_position":3,"first":7,"next":9,"bytes_per_second":5}`
	for framing, broken := range map[string]standin.BrokenAnswer{
		"length":           {Fields: []string{"Content-Length: 200"}, Body: value},
		"chunk":            {Fields: []string{"Transfer-Encoding: chunked"}, Body: fmt.Sprintf("%x\r\n%s\r\n", len(value), value)},
		"trailer":          {Fields: []string{"Transfer-Encoding: chunked"}, Body: fmt.Sprintf("%x\r\n%s\r\n0\r\nX Y: 1\r\n\r\n", len(value), value)},
		"behind the value": {Fields: []string{fmt.Sprintf("Content-Length: %d", len(value)+2)}, Body: value + "{}"},
	} {
		broken.Status, broken.End = "200 OK", standin.EndClose
		address := answertest.Start(t, broken)
		engine, log := upstream.NewHTTPEngine("e1", address, nil), infra.NewHTTPLog(address, nil)
		for call, send := range map[string]func() error{
			"state":        func() error { _, err := engine.State(t.Context()); return err },
			"progress":     func() error { _, err := engine.Progress(t.Context(), "s1"); return err },
			"cache events": func() error { _, err := engine.CacheEvents(t.Context(), 0); return err },
			"KV import": func() error {
				return engine.ImportFrom(t.Context(), upstream.KVSource{Session: "s1", Positions: 3})
			},
			"append": func() error { _, err := log.Append(t.Context(), "s", [][]byte{nil}); return err },
			"read":   func() error { _, err := log.Read(t.Context(), "s", 0, 1); return err },
			"rate":   func() error { _, err := infra.NewHTTPWeightStore(address, nil).Rate(t.Context()); return err },
			"VMs":    func() error { _, err := infra.NewHTTPVMList(address, nil).List(t.Context()); return err },
		} {
			t.Run(framing+", "+call, func(t *testing.T) {
				is := is.New(t)
				err := send()
				var engineFailure *upstream.Error
				var platformFailure *infra.Error
				switch {
				case errors.As(err, &engineFailure):
					is.True(engineFailure.Sent)
				case errors.As(err, &platformFailure):
					is.True(platformFailure.Sent)
				default:
					t.Fatalf("%v; want a failure of a call that may have had an effect", err)
				}
			})
		}
	}
}

// TestRangeOfOffsetsThatBreaksOff guards against taking the range of offsets that the log keeps from an
// answer that broke off behind it.
func TestRangeOfOffsetsThatBreaksOff(t *testing.T) {
	is := is.New(t)
	address := answertest.Start(t, standin.BrokenAnswer{Status: "410 Gone", Fields: []string{"Content-Length: 200"}, Body: `{"first":7,"next":9}`, End: standin.EndClose})
	_, err := infra.NewHTTPLog(address, nil).Read(t.Context(), "s", 0, 1)
	is.True(err != nil)
	is.True(!errors.Is(err, infra.ErrTruncated))
}

// TestResetDuringAppendToLogIsNoAnswer guards against taking records as appended when the answer has no
// length and its connection is reset while they are sent.
func TestResetDuringAppendToLogIsNoAnswer(t *testing.T) {
	for name, dial := range answertest.ResetReports() {
		t.Run(name, func(t *testing.T) {
			address := answertest.Start(t, standin.BrokenAnswer{
				Status: "200 OK", Body: `{"first":7}`, Early: true, End: standin.EndReset, EndAfter: standin.Duration(5 * time.Millisecond),
			})
			log := infra.NewHTTPLog(address, clientOf(dial))
			for range 10 {
				_, err := log.Append(t.Context(), "s", [][]byte{longUpload})
				var failure *infra.Error
				if !errors.As(err, &failure) || !failure.Sent {
					t.Fatalf("%v; want a failure of a call that may have had an effect", err)
				}
			}
		})
	}
}
