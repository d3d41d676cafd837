package packetagent

import (
	"github.com/VictoriaMetrics/metrics"

	"endiveflow.example/endiveflow/flowabsence"
	"endiveflow.example/endiveflow/placement"
)

// Metrics are documented in docs/metrics/packetagent.md.
var (
	badDatagrams   = metrics.NewCounter(`endiveflow_packetagent_dropped_total{reason="datagram"}`)
	badPackets     = metrics.NewCounter(`endiveflow_packetagent_dropped_total{reason="packet"}`)
	wrongService   = metrics.NewCounter(`endiveflow_packetagent_dropped_total{reason="service"}`)
	bounces        = metrics.NewCounter(`endiveflow_packetagent_bounced_total`)
	declined       = metrics.NewCounter(`endiveflow_packetagent_declined_total`)
	missing        = metrics.NewCounter(`endiveflow_packetagent_missing_total`)
	noRequest      = metrics.NewCounter(`endiveflow_packetagent_no_request_total`)
	noAnswer       = metrics.NewCounter(`endiveflow_packetagent_no_answer_total`)
	failedRequests = metrics.NewCounter(`endiveflow_packetagent_failed_requests_total`)
	learnedFlows   = metrics.NewCounter(`endiveflow_packetagent_learned_total`)
	warmupLimited  = metrics.NewCounter(`endiveflow_packetagent_warmup_limited_total`)
	warmupDropped  = metrics.NewCounter(`endiveflow_packetagent_warmup_dropped_total`)
	resets         = metrics.NewCounter(`endiveflow_packetagent_resets_total`)

	// probes counts packets of unknown flows given to the host, by the reason.
	probes = map[probeReason]*metrics.Counter{
		probeExpected:  metrics.NewCounter(`endiveflow_packetagent_probes_total{reason="expected"}`),
		probeForwarded: metrics.NewCounter(`endiveflow_packetagent_probes_total{reason="forwarded"}`),
		probeAll:       metrics.NewCounter(`endiveflow_packetagent_probes_total{reason="all"}`),
	}
	// secondProbes counts second packets of unknown flows given to a host that did not answer the first.
	secondProbes = metrics.NewCounter(`endiveflow_packetagent_second_probes_total`)
	// probeOutcomes counts the host's first answers to probes.
	probeOutcomes = map[probeOutcome]*metrics.Counter{
		probeBounced:      metrics.NewCounter(`endiveflow_packetagent_probe_outcomes_total{outcome="bounced"}`),
		probeReset:        metrics.NewCounter(`endiveflow_packetagent_probe_outcomes_total{outcome="reset"}`),
		probeAcknowledged: metrics.NewCounter(`endiveflow_packetagent_probe_outcomes_total{outcome="acknowledged"}`),
		probeSilent:       metrics.NewCounter(`endiveflow_packetagent_probe_outcomes_total{outcome="silent"}`),
		probeLearned:      metrics.NewCounter(`endiveflow_packetagent_probe_outcomes_total{outcome="learned"}`),
	}
	copiesGivenUp   = metrics.NewCounter(`endiveflow_packetagent_copies_given_up_total`)
	lookupsFound    = metrics.NewCounter(`endiveflow_packetagent_lookups_total{result="found"}`)
	lookupsNotFound = metrics.NewCounter(`endiveflow_packetagent_lookups_total{result="notFound"}`)

	// absenceVerdicts counts the answers to entries that ask whether the host has a flow.
	absenceVerdicts = map[flowabsence.Verdict]*metrics.Counter{
		flowabsence.Unknown: metrics.NewCounter(`endiveflow_packetagent_absence_answers_total{verdict="unknown"}`),
		flowabsence.Absent:  metrics.NewCounter(`endiveflow_packetagent_absence_answers_total{verdict="absent"}`),
		flowabsence.Present: metrics.NewCounter(`endiveflow_packetagent_absence_answers_total{verdict="present"}`),
	}

	// holdTimes are the times in seconds for which flows were held before they were sent to the host.
	holdTimes = metrics.NewHistogram(`endiveflow_packetagent_hold_seconds`)

	// decisions counts offers by the action taken.
	decisions = map[placement.Action]*metrics.Counter{
		placement.Take:   metrics.NewCounter(`endiveflow_packetagent_offers_total{action="take"}`),
		placement.Hold:   metrics.NewCounter(`endiveflow_packetagent_offers_total{action="hold"}`),
		placement.Pass:   metrics.NewCounter(`endiveflow_packetagent_offers_total{action="pass"}`),
		placement.Return: metrics.NewCounter(`endiveflow_packetagent_offers_total{action="return"}`),
		placement.Refuse: metrics.NewCounter(`endiveflow_packetagent_offers_total{action="refuse"}`),
	}
)
