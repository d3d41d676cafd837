package control

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"endiveflow.example/endiveflow/member"
)

func decisionCounter(k member.DecisionKind) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("endiveflow_control_decisions_total{kind=%q}", k))
}
