// Package operator serves operators: plans, confirmations, status, the audit
// trail, metrics and health.
package operator
