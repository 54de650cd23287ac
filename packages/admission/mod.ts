/**
 * Admission control of calls: priority queues, weighted shares of
 * organisations, shedding thresholds and the propagation of pressure to
 * upstream services.
 *
 * @module
 */

export { type AdmissionMechanisms } from "./_admission_context.ts";
export * from "./admission_control.ts";
export * from "./capacity_admission.ts";
export * from "./uncontrolled_admission.ts";
