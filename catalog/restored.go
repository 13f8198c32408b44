package catalog

import (
	"slices"

	"coltsfootlink"
	"coltsfootlink/metrics"
)

// learnEras takes over what a peer knows of eras of the store, and reports whether one of them is new here.
func (task *Task) learnEras(news coltsfootlink.News) bool {
	now, before := task.Clock.Now(), task.state
	for stream, era := range news.Eras {
		task.state = task.state.WithEra(now, stream, era)
	}
	for stream, end := range news.Ends {
		if end.Era > 0 {
			// Builds that do not know eras send positions of era 0, whatever the era of the store is.
			task.state = task.state.WithPosition(now, stream, end)
		}
	}
	for _, record := range news.Records {
		task.state = task.state.WithRecordEra(now, record)
	}
	return task.noteRestore(before)
}

// noteRestore logs restores of the store that the task has learned of, and reports whether there are any.
func (task *Task) noteRestore(before State) bool {
	if task.state.Era() != before.Era() {
		metrics.SetStoreEra(task.state.Era())
	}
	streams := task.state.LaterEras(before)
	for _, stream := range streams {
		era, _ := task.state.StreamEra(stream)
		task.Log.Warn().Str("stream", string(stream)).Uint64("era", era.Begun.Era).Time("settle-by", era.SettleBy).
			Msg("catalog: store was restored, what was known before stays in force until it has been written again")
	}
	return len(streams) > 0
}

// settle puts the records of an era in force once it has settled, and returns those that other instances need.
func (task *Task) settle() []coltsfootlink.CatalogRecord {
	state, settlements := task.state.WithSettled(task.Clock.Now())
	task.state = state
	var needed []coltsfootlink.CatalogRecord
	changed := false
	for _, settled := range settlements {
		task.agreeUntil = task.Clock.Now().Add(agreementTime)
		metrics.Count("store-eras-settled")
		task.Log.Info().Str("stream", string(settled.Stream)).Uint64("era", settled.Era).Int("kept", settled.Kept).
			Int("written-again", settled.Rewritten).Int("replaced", settled.Replaced).Int("missing", settled.Missing).
			Msg("catalog: records after a restore of the store are in force")
		for _, record := range settled.Changed {
			task.logChange(record)
		}
		changed = changed || len(settled.Changed) > 0
		needed = slices.Concat(needed, settled.Changed, settled.Written)
	}
	if changed {
		task.publish()
	}
	return needed
}

// settling reports whether an era of some stream has not settled yet.
func (task *Task) settling() bool {
	return task.state.Settling(coltsfootlink.OperatorStream) || task.state.Settling(coltsfootlink.TargetStream)
}
