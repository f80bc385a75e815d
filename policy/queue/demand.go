package queue

import (
	"maps"
	"slices"

	"marigoldcleat.example/cleat"
)

// Demand returns the number of waiting and running requests of each model, sorted by
// model. Plain services are left out, since they have no models to place.
func (t *Table) Demand() []cleat.ModelDemand {
	sums := make(map[cleat.ModelID]cleat.ModelDemand)
	for _, r := range t.requests {
		if r.work.Kind != cleat.KindModel {
			continue
		}
		d := sums[r.work.Model]
		d.Model = r.work.Model
		switch r.phase {
		case phaseWaiting, phaseDelayed:
			d.Waiting++
		case phaseRunning:
			d.Running++
		}
		sums[r.work.Model] = d
	}
	list := make([]cleat.ModelDemand, 0, len(sums))
	for _, m := range slices.Sorted(maps.Keys(sums)) {
		list = append(list, sums[m])
	}
	return list
}
