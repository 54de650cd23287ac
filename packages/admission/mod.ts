/**
 * Admission of calls: wait queues by priority, shares of organisations,
 * shedding thresholds and the pressure that travels upstream.
 *
 * @module
 */

export { type AdmissionMechanisms } from "./_admission_context.ts";
export * from "./admission_control.ts";
export * from "./capacity_admission.ts";
export * from "./uncontrolled_admission.ts";
