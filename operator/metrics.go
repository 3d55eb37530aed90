package operator

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/rcrowley/go-metrics"
)

// textContentType is the format that scrapers expect.
const textContentType = "text/plain; version=0.0.4; charset=utf-8"

// quantiles are those of each histogram and timer.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

func (s *Server) metricsText(c fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, textContentType)
	return writeMetrics(c, s.registry)
}

// writeMetrics writes all metrics in the text exposition format, by name.
func writeMetrics(w io.Writer, registry metrics.Registry) error {
	all := make(map[string]any)
	registry.Each(func(name string, metric any) { all[name] = metric })
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	out := textWriter{bufio.NewWriter(w)}
	for _, name := range names {
		out.metric(metricName(name), all[name])
	}
	return out.Flush()
}

// metricName replaces the characters that the format does not allow.
func metricName(name string) string {
	clean := strings.Map(func(r rune) rune {
		if r == '_' || r == ':' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' {
			return r
		}
		return '_'
	}, name)
	return "almondstile_" + clean
}

type textWriter struct{ *bufio.Writer }

func (w textWriter) metric(name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		w.value(name, "counter", float64(m.Count()))
	case metrics.Gauge:
		w.value(name, "gauge", float64(m.Value()))
	case metrics.GaugeFloat64:
		w.value(name, "gauge", m.Value())
	case metrics.Meter:
		w.value(name, "counter", float64(m.Snapshot().Count()))
	case metrics.Histogram:
		h := m.Snapshot()
		w.summary(name, h.Percentiles(quantiles), h.Count(), float64(h.Sum()))
	case metrics.Timer:
		t := m.Snapshot()
		w.summary(name, t.Percentiles(quantiles), t.Count(), float64(t.Sum()))
	}
}

func (w textWriter) value(name, kind string, value float64) {
	_, _ = fmt.Fprintf(w, "# TYPE %s %s\n%s %s\n", name, kind, name, number(value))
}

func (w textWriter) summary(name string, values []float64, count int64, sum float64) {
	_, _ = fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		_, _ = fmt.Fprintf(w, "%s{quantile=\"%s\"} %s\n", name, number(q), number(values[i]))
	}
	_, _ = fmt.Fprintf(w, "%s_sum %s\n%s_count %d\n", name, number(sum), name, count)
}

func number(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// metricsJSON writes the values of all metrics. NaN and infinities, which JSON
// does not have, become null.
func (s *Server) metricsJSON(c fiber.Ctx) error {
	all := s.registry.GetAll()
	for _, values := range all {
		for field, value := range values {
			if f, ok := value.(float64); ok && (math.IsNaN(f) || math.IsInf(f, 0)) {
				values[field] = nil
			}
		}
	}
	return c.JSON(all)
}
