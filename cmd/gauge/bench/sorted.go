package bench

import (
	"sort"

	"marigoldcleat.example/cleat"
)

func sortedAttempts[V any](set map[cleat.Attempt]V) []cleat.Attempt {
	list := make([]cleat.Attempt, 0, len(set))
	for a := range set {
		list = append(list, a)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Request != list[j].Request {
			return list[i].Request < list[j].Request
		}
		return list[i].Number < list[j].Number
	})
	return list
}

func sortedInstances[V any](set map[cleat.InstanceID]V) []cleat.InstanceID {
	list := make([]cleat.InstanceID, 0, len(set))
	for id := range set {
		list = append(list, id)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}

func sortedModels[V any](set map[cleat.ModelID]V) []cleat.ModelID {
	list := make([]cleat.ModelID, 0, len(set))
	for model := range set {
		list = append(list, model)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}
