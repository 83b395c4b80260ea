package metrics

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"sort"
	"strconv"
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// ContentType is the media type of the text format.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// quantiles are the quantiles of each summary.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// LabelledName returns the registry name of one labelled member of a metric family.
func LabelledName(family, key, value string) string {
	return family + "{" + key + "=" + strconv.Quote(value) + "}"
}

// WriteText writes the counters, gauges and histograms of a registry in the
// Prometheus text format, ordered by name. Histograms whose name ends in _seconds
// hold nanoseconds.
func WriteText(w io.Writer, r gometrics.Registry) error {
	values := make(map[string]any)
	var names []string
	r.Each(func(name string, value any) {
		name = textName(name, value)
		values[name] = value
		names = append(names, name)
	})
	sort.Strings(names)
	help := definitionsByName()
	out := bufio.NewWriter(w)
	previous := ""
	for _, name := range names {
		family, labels := splitName(name)
		if family != previous {
			writeHeader(out, family, values[name], help)
			previous = family
		}
		writeValue(out, family, labels, values[name])
	}
	return out.Flush()
}

// WriteJSON writes every metric of a registry as one JSON object.
func WriteJSON(w io.Writer, r gometrics.Registry) {
	gometrics.WriteJSONOnce(r, w)
}

func definitionsByName() map[string]Definition {
	byName := make(map[string]Definition)
	for _, d := range Definitions() {
		byName[d.Name] = d
	}
	return byName
}

// namePrefix is the prefix of every name in the text format.
const namePrefix = "galenacart_"

// textName returns the name of a metric in the text format. Dots and hyphens of
// go-metrics names become underscores.
func textName(name string, value any) string {
	family, labels, labelled := strings.Cut(name, "{")
	family = strings.NewReplacer(".", "_", "-", "_").Replace(family)
	if !strings.HasPrefix(family, namePrefix) {
		family = namePrefix + family
	}
	if metricType(value) == Counter && !strings.HasSuffix(family, "_total") {
		family += "_total"
	}
	if !labelled {
		return family
	}
	return family + "{" + labels
}

// splitName splits a registry name into family and labels without braces.
func splitName(name string) (family, labels string) {
	family, rest, found := strings.Cut(name, "{")
	if !found {
		return name, ""
	}
	return family, strings.TrimSuffix(rest, "}")
}

func writeHeader(out io.Writer, family string, value any, help map[string]Definition) {
	if d, ok := help[family]; ok {
		_, _ = fmt.Fprintf(out, "# HELP %s %s\n", family, d.Help) // Flush returns the error
	}
	_, _ = fmt.Fprintf(out, "# TYPE %s %s\n", family, metricType(value))
}

func metricType(value any) Type {
	switch value.(type) {
	case gometrics.Counter:
		return Counter
	case gometrics.Histogram:
		return Summary
	default:
		return Gauge
	}
}

func writeValue(out io.Writer, family, labels string, value any) {
	switch v := value.(type) {
	case gometrics.Counter:
		writeSample(out, family, labels, float64(v.Count()))
	case gometrics.Gauge:
		writeSample(out, family, labels, float64(v.Value()))
	case gometrics.GaugeFloat64:
		writeSample(out, family, labels, v.Value())
	case gometrics.Histogram:
		writeSummary(out, family, labels, v.Snapshot())
	}
}

// writeSummary writes quantiles and the count. It writes no sum, because the sample
// holds only part of the values.
func writeSummary(out io.Writer, family, labels string, h gometrics.Histogram) {
	unit := 1.0
	if strings.HasSuffix(family, "_seconds") {
		unit = float64(time.Second) // the values are in nanoseconds
	}
	for i, value := range h.Percentiles(quantiles) {
		if h.Count() == 0 {
			value = math.NaN() // no values, so no quantile
		}
		quantile := fmt.Sprintf("quantile=%q", strconv.FormatFloat(quantiles[i], 'g', -1, 64))
		writeSample(out, family, joinLabels(labels, quantile), value/unit)
	}
	writeSample(out, family+"_count", labels, float64(h.Count()))
}

func joinLabels(labels, label string) string {
	if labels == "" {
		return label
	}
	return labels + "," + label
}

func writeSample(out io.Writer, name, labels string, value float64) {
	if labels != "" {
		name += "{" + labels + "}"
	}
	_, _ = fmt.Fprintf(out, "%s %s\n", name, strconv.FormatFloat(value, 'g', -1, 64)) // Flush returns the error
}
