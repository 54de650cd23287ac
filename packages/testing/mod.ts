/**
 * Stand-ins, seeded fault schedules and invariant checks.
 *
 * @module
 */

export {};
