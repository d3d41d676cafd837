package packetentry

import "github.com/VictoriaMetrics/metrics"

// Metrics are documented in docs/metrics/packetentry.md.
var (
	badDatagrams   = metrics.NewCounter(`endiveflow_packetentry_dropped_total{reason="datagram"}`)
	badPackets     = metrics.NewCounter(`endiveflow_packetentry_dropped_total{reason="packet"}`)
	noAgents       = metrics.NewCounter(`endiveflow_packetentry_dropped_total{reason="noAgent"}`)
	noRoutes       = metrics.NewCounter(`endiveflow_packetentry_refused_total{reason="noRoute"}`)
	refusedFlows   = metrics.NewCounter(`endiveflow_packetentry_refused_total{reason="noHost"}`)
	evacuatedFlows = metrics.NewCounter(`endiveflow_packetentry_refused_total{reason="evacuated"}`)
	parkedFlows    = metrics.NewCounter(`endiveflow_packetentry_parked_total`)
	offersSent     = metrics.NewCounter(`endiveflow_packetentry_offers_total`)
	// Offers by what is known of the route's flows.
	longFlowOffers   = metrics.NewCounter(`endiveflow_packetentry_placements_total{flows="long"}`)
	singleOffers     = metrics.NewCounter(`endiveflow_packetentry_placements_total{flows="single"}`)
	unansweredOffers = metrics.NewCounter(`endiveflow_packetentry_silent_total`)
	gaveUp           = metrics.NewCounter(`endiveflow_packetentry_gave_up_total`)
	forwarded        = metrics.NewCounter(`endiveflow_packetentry_forwarded_total`)
	floods           = metrics.NewCounter(`endiveflow_packetentry_floods_total`)
	firstSearches    = metrics.NewCounter(`endiveflow_packetentry_first_agents_searches_total`)
	// Searches at the agents that may have come first when the flow opened.
	formerFirstSearches = metrics.NewCounter(`endiveflow_packetentry_former_first_searches_total`)
	recordSearches      = metrics.NewCounter(`endiveflow_packetentry_record_searches_total`)
	recordsFound        = metrics.NewCounter(`endiveflow_packetentry_records_found_total`)
	foundSearches       = metrics.NewCounter(`endiveflow_packetentry_found_searches_total`)
	withheldRepeats     = metrics.NewCounter(`endiveflow_packetentry_withheld_repeats_total`)
	absenceQueries      = metrics.NewCounter(`endiveflow_packetentry_absence_queries_total`)
	absenceFlows        = metrics.NewCounter(`endiveflow_packetentry_absence_flows_total`)
	absenceOverflows    = metrics.NewCounter(`endiveflow_packetentry_absence_overflows_total`)
	searches            = metrics.NewCounter(`endiveflow_packetentry_searches_total`)
	rotationLeaves      = metrics.NewCounter(`endiveflow_packetentry_rotation_changes_total{to="spare"}`)
	rotationReturns     = metrics.NewCounter(`endiveflow_packetentry_rotation_changes_total{to="active"}`)

	// What became of flows whose absence was to be proved.
	absencesProved     = metrics.NewCounter(`endiveflow_packetentry_absence_outcomes_total{outcome="reset"}`)
	absencesRefuted    = metrics.NewCounter(`endiveflow_packetentry_absence_outcomes_total{outcome="refuted"}`)
	absencesUnanswered = metrics.NewCounter(`endiveflow_packetentry_absence_outcomes_total{outcome="unanswered"}`)
	absencesWithheld   = metrics.NewCounter(`endiveflow_packetentry_absence_outcomes_total{outcome="withheld"}`)

	// The searches that begin with a packet of a caller whose flow the entry has no record of, by step.
	directorySearchesBegun = metrics.NewCounter(`endiveflow_packetentry_searches_begun_total{step="directory"}`)
	firstSearchesBegun     = metrics.NewCounter(`endiveflow_packetentry_searches_begun_total{step="firstAgents"}`)
	allSearchesBegun       = metrics.NewCounter(`endiveflow_packetentry_searches_begun_total{step="all"}`)
)
