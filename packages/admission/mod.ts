/**
 * Admission of calls: wait queues by priority, shares of organisations,
 * shedding thresholds and the pressure that travels upstream.
 *
 * @module
 */

export * from "./admission_control.ts";
