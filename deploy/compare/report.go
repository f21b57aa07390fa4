package main

import (
	"encoding/json"
	"os"
)

// requestCounts is one row of the bench's report: the number of requests by outcome,
// for all requests, one class or one failure domain. P99 is a latency in ms.
type requestCounts struct {
	Name         string  `json:"name"`
	Total        int     `json:"n"`
	WithinTarget int     `json:"in_aim"`
	Late         int     `json:"late"`
	Refused      int     `json:"refused"`
	Failed       int     `json:"failed"`
	Score        float64 `json:"worth"`
	P99          float64 `json:"p99_ms"`
}

// report is the bench's report on one trial.
type report struct {
	Score      float64         `json:"G"`
	Served     float64         `json:"served"`
	Violations map[string]any  `json:"breaks"`
	Fault      json.RawMessage `json:"fault"`
	All        requestCounts   `json:"all"`
	Classes    []requestCounts `json:"classes"`
	Zones      []requestCounts `json:"zones"`
}

func readReport(path string) (report, error) {
	var r report
	raw, err := os.ReadFile(path)
	if err != nil {
		return r, Class.Wrap(err)
	}
	return r, Class.Wrap(json.Unmarshal(raw, &r))
}

// measures lists the measures of one trial that are compared, in the order of output.
type measures []measure

type measure struct {
	name  string
	value float64
}

// share returns n as a fraction of all requests.
func (c requestCounts) share(n int) float64 { return float64(n) / float64(max(c.Total, 1)) }

func (r report) measures() measures {
	out := measures{
		{"worth", r.Score}, {"served", r.Served},
		{"in aim", r.All.share(r.All.WithinTarget)}, {"late", r.All.share(r.All.Late)},
		{"refused", r.All.share(r.All.Refused)}, {"failed", r.All.share(r.All.Failed)},
		{"worst refused part", r.maxRefusedShare()},
	}
	for _, rows := range [][]requestCounts{r.Classes, r.Zones} {
		for _, counts := range rows {
			out = append(out,
				measure{counts.Name + " worth", counts.Score}, measure{counts.Name + " late", counts.share(counts.Late)},
				measure{counts.Name + " refused", counts.share(counts.Refused)}, measure{counts.Name + " p99 ms", counts.P99})
		}
	}
	return out
}

// maxRefusedShare returns the largest fraction of a trial's refusals that falls on one
// failure domain, or 0 if there are no refusals.
func (r report) maxRefusedShare() float64 {
	worst, all := 0, 0
	for _, zone := range r.Zones {
		worst, all = max(worst, zone.Refused), all+zone.Refused
	}
	return float64(worst) / float64(max(all, 1))
}
