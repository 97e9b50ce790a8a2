package chain_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/chain"
)

// TestServersThatAskForAPause guards against chains through paused servers, and against a
// wrong time for the end of the pauses when every complete chain includes a paused server.
func TestServersThatAskForAPause(t *testing.T) {
	is := is.New(t)
	b := chain.New(testEngine(), "a")
	list := append(serversOf("s", "a", slow, 8), server("x", "a", fast, 0, 40), server("y", "a", fast, 40, 80))
	b.SetServers(list)
	b.Pause("x", start.Add(3*time.Second))
	b.Pause("x", start.Add(time.Second)) // does not end the longer one
	c, failure := b.Reserve(start, need, nil)
	is.Equal(failure, chain.NoFailure)
	for _, s := range c.Stages {
		is.True(s.Server != "x")
	}
	b.Pause("s8", start.Add(2*time.Second))
	b.Pause("s16", start.Add(5*time.Second))
	b.Pause("y", start.Add(9*time.Second))
	_, failure = b.Reserve(start, need, nil)
	is.Equal(failure, chain.Paused)
	is.Equal(b.PausedUntil(start), start.Add(3*time.Second)) // x to 40, then the slow ones
	_, failure = b.Reserve(start.Add(3*time.Second), need, nil)
	is.Equal(failure, chain.NoFailure)

	restarted := list[len(list)-2]
	restarted.StartedAt = start
	b.SetServers([]chain.Server{restarted, list[len(list)-1]})
	b.Pause("y", start)
	_, failure = b.Reserve(start.Add(9*time.Second), need, nil)
	is.Equal(failure, chain.NoFailure)

	b.SetServers(list[:1])
	b.Pause("s0", start.Add(time.Second))
	_, failure = b.Reserve(start, need, nil)
	is.Equal(failure, chain.Incomplete) // layers are missing even after the pause
}

// TestServerPausedForAnotherVM guards against a server that is excluded because it asked
// another VM for a pause: it must only cost more than an equal server.
func TestServerPausedForAnotherVM(t *testing.T) {
	is := is.New(t)
	b := chain.New(testEngine(), "a")
	one, two := server("one", "a", slow, 0, 80), server("two", "a", slow, 0, 80)
	one.DeprioritizedUntil = start.Add(time.Second)
	one.Card.MemoryMB, two.Card.MemoryMB = 200000, 200000
	b.SetServers([]chain.Server{one, two})
	c, _ := b.Reserve(start, need, nil)
	is.Equal(string(c.Stages[0].Server), "two")
	b.SetServers([]chain.Server{one})
	_, failure := b.Reserve(start, need, nil)
	is.Equal(failure, chain.NoFailure) // another VM's pause does not exclude the server
}
