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

// textContentType is the content type of the Prometheus text exposition format.
const textContentType = "text/plain; version=0.0.4; charset=utf-8"

// quantiles are the quantiles written for each histogram and timer.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// metricsText handles GET /metrics.
func (s *Server) metricsText(c fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, textContentType)
	return writeMetrics(c, s.registry)
}

// writeMetrics writes all metrics in the text exposition format, sorted by name.
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
		out.writeMetric(exportedName(name), all[name])
	}
	return out.Flush()
}

// exportedName returns the metric's name in the text exposition format, with the
// prefix almondstile_. Characters that the format does not allow become '_'.
func exportedName(name string) string {
	clean := strings.Map(func(r rune) rune {
		if r == '_' || r == ':' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' {
			return r
		}
		return '_'
	}, name)
	return "almondstile_" + clean
}

// textWriter writes metrics in the text exposition format. Write errors are
// returned by Flush.
type textWriter struct{ *bufio.Writer }

func (w textWriter) writeMetric(name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		w.writeValue(name, "counter", float64(m.Count()))
	case metrics.Gauge:
		w.writeValue(name, "gauge", float64(m.Value()))
	case metrics.GaugeFloat64:
		w.writeValue(name, "gauge", m.Value())
	case metrics.Meter:
		w.writeValue(name, "counter", float64(m.Snapshot().Count()))
	case metrics.Histogram:
		h := m.Snapshot()
		w.writeSummary(name, h.Percentiles(quantiles), h.Count(), float64(h.Sum()))
	case metrics.Timer:
		t := m.Snapshot()
		w.writeSummary(name, t.Percentiles(quantiles), t.Count(), float64(t.Sum()))
	}
}

func (w textWriter) writeValue(name, kind string, value float64) {
	_, _ = fmt.Fprintf(w, "# TYPE %s %s\n%s %s\n", name, kind, name, formatNumber(value))
}

func (w textWriter) writeSummary(name string, values []float64, count int64, sum float64) {
	_, _ = fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		_, _ = fmt.Fprintf(w, "%s{quantile=\"%s\"} %s\n", name, formatNumber(q), formatNumber(values[i]))
	}
	_, _ = fmt.Fprintf(w, "%s_sum %s\n%s_count %d\n", name, formatNumber(sum), name, count)
}

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// metricsJSON handles GET /metrics.json. NaN and infinite values become null,
// since JSON cannot represent them.
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
