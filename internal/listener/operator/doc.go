// Package operator serves operators: plans, confirmations, status, the audit
// log, metrics and health checks.
package operator
