package gateway_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOrdersForLayersEndNoRuns guards against streams that are cut because the leader orders the first
// engine of their chain to load other layers at once: all engines with the last layers leave, and another
// one holds the layers of the first engine as well. The leaving engines go on until the stream has ended.
func TestOrdersForLayersEndNoRuns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deployStopping(t, func(*deployment) {})
	d.eventually("a stream runs", func() bool { return d.canResume("g" + strconv.Itoa(time.Now().Nanosecond())) })
	for _, e := range d.engines { // so that the stream begins at an engine that can be spared
		begin, end := e.Layers()
		e.SetShedding(begin == 0 && end == modelHalf)
		e.SetRepathFault("gone")
	}
	s := d.openStreamOf("s", largeAnswer)
	d.setShedding(false)
	for _, e := range d.engines {
		if begin, _ := e.Layers(); begin >= modelHalf {
			d.store.Put("keyed.servers", e.ID, e.Entry("model", "a", "draining"))
		}
	}
	d.eventually("the first engine gets other layers", func() bool {
		begin, _ := s.first.Layers()
		return begin >= modelHalf
	})
	d.checkWhole(s)
	is.True(!d.logged(`"run_broken"`, requestField(s.id)))
}

// modelHalf is the layer at which the larger engines of a deployment divide the model.
const modelHalf = 4
