/** Identity of one incarnation of a worker. */
export interface WorkerIncarnation {
  readonly workerId: string;
  /**
   * Wall-clock time of the worker's start, in milliseconds since 1970; 0 if it
   * is not known.
   */
  readonly startedAt: number;
}

/** Start time that is assumed for a worker that does not report it. */
export const UNKNOWN_START = 0;

/**
 * Returns whether two consecutive states are of one incarnation. The first
 * heartbeat to a process that was restarted tells the start of the worker.
 */
export function isSameIncarnation(
  { workerId, startedAt }: WorkerIncarnation,
  previous: WorkerIncarnation,
): boolean {
  return workerId === previous.workerId &&
    [startedAt, UNKNOWN_START].includes(previous.startedAt);
}
