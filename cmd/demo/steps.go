package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"syscall"
	"time"

	"github.com/cornelline/cornelline/internal/testbed"
	"github.com/cornelline/cornelline/pkg/cli"
	"github.com/cornelline/cornelline/pkg/standin"
)

// call sends a request with an API key and headers. It returns the response with its body,
// and an error for status codes from 400 on.
func call(ctx context.Context, method, url, key string, header map[string]string, body any) (*http.Response, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode >= http.StatusBadRequest {
		err = fmt.Errorf("%s %s: %s: %s", method, url, resp.Status, bytes.TrimSpace(answer))
	}
	return resp, answer, err
}

// applySettings writes the demo's settings through the operators' API and waits until they
// are in force.
func applySettings(ctx context.Context, c *cluster) error {
	data, err := c.Settings()
	if err != nil {
		return err
	}
	branches, err := cli.DecodeBranches(data)
	if err != nil {
		return err
	}
	base := "http://" + c.VMs[0].Address + "/v1/settings/"
	for _, b := range branches {
		_, _, err := call(ctx, http.MethodPut, base+b.Path, testbed.OperatorKey, map[string]string{"If-Match": `"0"`}, b.Value)
		if err != nil {
			return err
		}
	}
	fmt.Printf("%d branches accepted through %s\n", len(branches), c.VMs[0].VM)
	return c.waitSettingsInForce(ctx)
}

// waitSettingsInForce waits until every VM lists the model.
func (c *cluster) waitSettingsInForce(ctx context.Context) error {
	began := time.Now()
	for _, vm := range c.VMs {
		for {
			_, answer, err := call(ctx, http.MethodGet, "http://"+vm.Address+"/v1/models", testbed.TeamKey, nil, nil)
			if err == nil && strings.Contains(string(answer), string(testbed.ModelID)) {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("settings are not in force at %s: %w", vm.VM, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	fmt.Printf("in force on all %d VMs after %d ms\n", len(c.VMs), time.Since(began).Milliseconds())
	time.Sleep(time.Second) // the engines' states are polled every 500 ms
	return nil
}

func showAddress(ctx context.Context, c *cluster) error {
	_, answer, err := call(ctx, http.MethodGet, "http://"+c.VMs[0].Address+"/v1/address", testbed.TeamKey, nil, nil)
	fmt.Printf("%s", answer)
	return err
}

// requestAllRanks sends one plain request of each rank through a different VM each.
func requestAllRanks(ctx context.Context, c *cluster) error {
	for i, rank := range []string{"urgent", "lookup", "overnight"} {
		prompt := "Care notes for a hop bine wreath, " + rank
		began := time.Now()
		resp, answer, err := call(ctx, http.MethodPost, "http://"+c.VMs[i].Address+"/v1/chat/completions", testbed.TeamKey,
			map[string]string{"Cornelline-Rank": rank}, testbed.ChatBody(prompt, 24, false))
		if err != nil {
			return err
		}
		got, err := plainText(answer)
		if err != nil {
			return err
		}
		if got != testbed.ExpectedText(prompt, 24) {
			return fmt.Errorf("rank %s: wrong answer %q, want %q", rank, got, testbed.ExpectedText(prompt, 24))
		}
		fmt.Printf("%-9s via %s: right after %d ms, request %s\n", rank, c.VMs[i].VM, time.Since(began).Milliseconds(), resp.Header.Get("Cornelline-Request-Id"))
	}
	return nil
}

func plainText(answer []byte) (string, error) {
	var body struct {
		Choices []struct {
			Message struct{ Content string }
		}
	}
	if err := json.Unmarshal(answer, &body); err != nil || len(body.Choices) != 1 {
		return "", fmt.Errorf("not a chat completion: %s", answer)
	}
	return body.Choices[0].Message.Content, nil
}

// bookTwice sends a booking with the same idempotency key through two VMs concurrently,
// repeats it through a third, and checks that it ran once.
func bookTwice(ctx context.Context, c *cluster) error {
	_, answer, err := call(ctx, http.MethodPost, "http://"+c.VMs[0].Address+"/v1/idempotency-keys", testbed.TeamKey, nil, nil)
	if err != nil {
		return err
	}
	var idempotencyKey struct{ Key string }
	if err := json.Unmarshal(answer, &idempotencyKey); err != nil {
		return err
	}
	booking := map[string]any{"slot": "harvest-2026-09-14T08:00", "bines": 40}
	header := map[string]string{"Idempotency-Key": idempotencyKey.Key}
	type end struct {
		answer []byte
		err    error
	}
	outcomes := make(chan end, 2)
	for _, vm := range c.VMs[:2] {
		go func() {
			_, answer, err := call(ctx, http.MethodPost, "http://"+vm.Address+"/v1/services/booking", testbed.TeamKey, header, booking)
			outcomes <- end{answer, err}
		}()
	}
	for range 2 {
		e := <-outcomes
		fmt.Printf("  %s%v\n", bytes.TrimSpace(e.answer), errorText(e.err))
	}
	again, err := retryInProgress(ctx, "http://"+c.VMs[2].Address+"/v1/services/booking", header, booking)
	if err != nil {
		return fmt.Errorf("repeat the booking: %w", err)
	}
	fmt.Printf("asked again via %s: %s\n", c.VMs[2].VM, bytes.TrimSpace(again))
	return c.checkRuns(ctx, idempotencyKey.Key)
}

// retryInProgress repeats a call while the answer says that the call is in progress.
func retryInProgress(ctx context.Context, url string, header map[string]string, body any) ([]byte, error) {
	for {
		resp, answer, err := call(ctx, http.MethodPost, url, testbed.TeamKey, header, body)
		if err == nil || resp == nil || resp.StatusCode != http.StatusConflict || resp.Header.Get("Retry-After-Ms") == "" {
			return answer, err
		}
		wait, err := time.ParseDuration(resp.Header.Get("Retry-After-Ms") + "ms")
		if err != nil {
			return nil, err
		}
		time.Sleep(wait)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return " (" + err.Error() + ")"
}

// checkRuns returns an error unless the booking with the key ran exactly once on all
// servers together.
func (c *cluster) checkRuns(ctx context.Context, key string) error {
	total := 0
	for _, s := range c.Standins.Services {
		_, answer, err := call(ctx, http.MethodGet, "http://"+s.Listen+standin.PathRuns, "", nil, nil)
		if err != nil {
			return err
		}
		total += strings.Count(string(answer), key)
	}
	if total != 1 {
		return fmt.Errorf("the booking ran %d times, want 1", total)
	}
	fmt.Println("the booking ran once")
	return nil
}

// streamed holds the content of a streamed answer.
type streamed struct {
	text     string
	request  string
	complete bool // the end marker arrived
}

// stream sends a request for a streamed answer and calls onToken after each chunk with
// content.
func stream(ctx context.Context, address, prompt string, limit int, onToken func(n int)) (streamed, error) {
	data, err := json.Marshal(testbed.ChatBody(prompt, limit, true))
	if err != nil {
		return streamed{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(data))
	if err != nil {
		return streamed{}, err
	}
	req.Header.Set("Authorization", "Bearer "+testbed.TeamKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return streamed{}, err
	}
	defer resp.Body.Close()
	out := streamed{request: resp.Header.Get("Cornelline-Request-Id")}
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		return out, fmt.Errorf("%s: %s", resp.Status, body)
	}
	scanner := bufio.NewScanner(resp.Body)
	for n := 0; scanner.Scan(); {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			out.complete = true
		default:
			var chunk struct {
				Choices []struct{ Delta struct{ Content string } }
				Error   json.RawMessage
			}
			if err := json.Unmarshal([]byte(data), &chunk); err != nil {
				return out, err
			}
			if chunk.Error != nil {
				return out, fmt.Errorf("broken stream: %s", chunk.Error)
			}
			if len(chunk.Choices) == 1 && chunk.Choices[0].Delta.Content != "" {
				out.text += chunk.Choices[0].Delta.Content
				n++
				onToken(n)
			}
		}
	}
	return out, scanner.Err()
}

// crashStage crashes an engine that runs a stage of a generation after ten tokens, and
// checks that the answer is still complete.
func crashStage(ctx context.Context, c *cluster) error {
	const limit = 60
	prompt := "A long description of the harvest festival"
	killed := ""
	began := time.Now()
	got, err := stream(ctx, c.VMs[0].Address, prompt, limit, func(n int) {
		if n == 10 {
			killed = c.crashBusyEngine(ctx)
		}
	})
	if err != nil {
		return err
	}
	if killed == "" {
		return errors.New("no stage was running")
	}
	if want := testbed.ExpectedText(prompt, limit); !got.complete || got.text != want {
		return fmt.Errorf("wrong answer (whole %t): %q, want %q", got.complete, got.text, want)
	}
	fmt.Printf("%s was killed after 10 tokens; the answer is whole and right after %d ms\n", killed, time.Since(began).Milliseconds())
	_, answer, err := call(ctx, http.MethodGet, "http://"+c.VMs[1].Address+"/v1/requests/"+got.request, testbed.TeamKey, nil, nil)
	if err != nil {
		return err
	}
	fmt.Printf("explained by %s:\n", c.VMs[1].VM)
	return printExplanation(answer)
}

func printExplanation(answer []byte) error {
	var trace struct {
		Steps []struct {
			At       int64 `json:"at_ns"`
			What     string
			Upstream string
			Detail   string
		}
	}
	if err := json.Unmarshal(answer, &trace); err != nil {
		return err
	}
	for _, s := range trace.Steps {
		fmt.Printf("  %8.1f ms  %-12s %-10s %s\n", float64(s.At)/1e6, s.What, s.Upstream, s.Detail)
	}
	return nil
}

// crashBusyEngine crashes an engine that runs a generation and returns its name, or an
// empty string if there is none or a call failed.
func (c *cluster) crashBusyEngine(ctx context.Context) string {
	_, answer, err := call(ctx, http.MethodGet, "http://"+c.VMs[0].Address+"/v1/status", testbed.OperatorKey, nil, nil)
	if err != nil {
		return ""
	}
	var status struct {
		Upstreams []struct {
			Upstream string
			InFlight int `json:"in_flight_here"`
		}
	}
	if err := json.Unmarshal(answer, &status); err != nil {
		return ""
	}
	for _, u := range status.Upstreams {
		if u.InFlight > 0 && strings.HasPrefix(u.Upstream, "engine-") {
			_, _, err := call(ctx, http.MethodPost, "http://"+c.Standins.Control+standin.PathFaults+"/"+u.Upstream, "", nil, standin.Faults{Crashed: true})
			if err == nil {
				return u.Upstream
			}
		}
	}
	return ""
}

// showCounters prints the metrics of finished and refused requests, retries, and times to
// the first token of all VMs.
func showCounters(ctx context.Context, c *cluster) error {
	for _, vm := range c.VMs {
		_, answer, err := call(ctx, http.MethodGet, "http://"+vm.Address+"/metrics", testbed.OperatorKey, nil, nil)
		if err != nil {
			return err
		}
		lines := strings.Split(strings.TrimSpace(string(answer)), "\n")
		sort.Strings(lines)
		for _, line := range lines {
			if strings.HasPrefix(line, "cornelline_done") || strings.HasPrefix(line, "cornelline_retried") ||
				strings.HasPrefix(line, "cornelline_refused{") || strings.HasPrefix(line, "cornelline_first_token_ms{") {
				fmt.Printf("  %s %s\n", vm.VM, line)
			}
		}
	}
	return nil
}

// drainUnderLoad sends SIGTERM to a VM while it serves a stream, and then sends it another
// request while its address is still valid. Both requests must be served.
func drainUnderLoad(ctx context.Context, c *cluster) error {
	const limit = 200
	prompt := "Catalogue text for the last wreath of the season"
	vm := c.VMs[3]
	secondRequest := make(chan error, 1)
	got, err := stream(ctx, vm.Address, prompt, limit, func(n int) {
		if n != 3 {
			return
		}
		_ = c.process(3).Process.Signal(syscall.SIGTERM)
		go func() {
			time.Sleep(time.Second) // the address is valid for 2 s
			_, _, err := call(ctx, http.MethodPost, "http://"+vm.Address+"/v1/chat/completions", testbed.TeamKey, nil, testbed.ChatBody("late caller", 4, false))
			secondRequest <- err
		}()
	})
	if err != nil {
		return err
	}
	if want := testbed.ExpectedText(prompt, limit); !got.complete || got.text != want {
		return fmt.Errorf("the stop cut the stream (whole %t)", got.complete)
	}
	if err := <-secondRequest; err != nil {
		return fmt.Errorf("a caller with a valid address was refused: %w", err)
	}
	if err := c.process(3).Wait(); err != nil {
		return fmt.Errorf("%s ended badly: %w", vm.VM, err)
	}
	fmt.Printf("%s finished its stream and a late caller's request, then ended\n", vm.VM)
	return nil
}
