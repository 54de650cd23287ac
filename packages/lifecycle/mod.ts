/**
 * The planned end of a program: work in progress is finished once, however often
 * and by whichever signals the stop is asked for.
 *
 * @module
 */

export * from "./ignore_hangup.ts";
export * from "./planned_stop.ts";
