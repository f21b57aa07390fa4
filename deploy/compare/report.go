package main

import (
	"encoding/json"
	"os"
)

// tally is one row of the bench's report: requests by their fate.
type tally struct {
	Name    string  `json:"name"`
	Asked   int     `json:"n"`
	InAim   int     `json:"in_aim"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Worth   float64 `json:"worth"`
	P99     float64 `json:"p99_ms"`
}

// report is what the bench writes about one play of a day.
type report struct {
	Worth   float64         `json:"G"`
	Served  float64         `json:"served"`
	Breaks  map[string]any  `json:"breaks"`
	Fault   json.RawMessage `json:"fault"`
	All     tally           `json:"all"`
	Classes []tally         `json:"classes"`
	Zones   []tally         `json:"zones"`
}

func readReport(path string) (report, error) {
	var r report
	raw, err := os.ReadFile(path)
	if err != nil {
		return r, Class.Wrap(err)
	}
	return r, Class.Wrap(json.Unmarshal(raw, &r))
}

// figures are the measures of one play that are compared, in order of output.
type figures []figure

type figure struct {
	name  string
	value float64
}

func (t tally) share(n int) float64 { return float64(n) / float64(max(t.Asked, 1)) }

func (r report) figures() figures {
	out := figures{
		{"worth", r.Worth}, {"served", r.Served},
		{"in aim", r.All.share(r.All.InAim)}, {"late", r.All.share(r.All.Late)},
		{"refused", r.All.share(r.All.Refused)}, {"failed", r.All.share(r.All.Failed)},
		{"worst refused part", r.worstPart()},
	}
	for _, group := range [][]tally{r.Classes, r.Zones} {
		for _, t := range group {
			out = append(out,
				figure{t.Name + " worth", t.Worth}, figure{t.Name + " late", t.share(t.Late)},
				figure{t.Name + " refused", t.share(t.Refused)}, figure{t.Name + " p99 ms", t.P99})
		}
	}
	return out
}

// worstPart is the greatest part of a day's refusals that falls on one failure domain.
func (r report) worstPart() float64 {
	worst, all := 0, 0
	for _, z := range r.Zones {
		worst, all = max(worst, z.Refused), all+z.Refused
	}
	return float64(worst) / float64(max(all, 1))
}
